// Package offerlimiter binds requests to endpoints and refuses those that come too late in a stop of this host.
package offerlimiter
