// Package wish holds what a request asks of the endpoint it is bound to.
package wish
