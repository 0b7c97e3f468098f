// Package classifier finds the class of a request by its host, method and path.
package classifier
