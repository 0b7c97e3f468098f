// Package arguments reads the flags that the programs of the tests have in common.
package arguments
