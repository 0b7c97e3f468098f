// Package secured tests deployments whose entry hosts authenticate each other.
package secured
