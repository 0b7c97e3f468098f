// Package inspector asks the entry hosts of a platform which configuration each of them runs.
package inspector
