// Package proposal holds one change that an operator asks for.
package proposal
