// Package chooser binds requests by what this host alone knows; it is the baseline of the measures.
package chooser
