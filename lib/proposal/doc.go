// Package proposal defines a change of the configuration that an operator proposes.
package proposal
