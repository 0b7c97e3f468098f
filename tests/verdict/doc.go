// Package verdict defines the result of a demonstration and its JSON form.
package verdict
