// Package arguments parses the command line flags that the demo and bench programs have in common.
package arguments
