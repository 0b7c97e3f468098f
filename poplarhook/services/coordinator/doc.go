// Package coordinator binds requests to endpoints together with the other entry hosts.
package coordinator
