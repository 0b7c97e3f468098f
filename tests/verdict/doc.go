// Package verdict holds what a demonstration has shown, in its JSON form.
package verdict
