// Package classifier finds the class that a caller's request belongs to.
package classifier
