// Package sender sends requests to endpoints and keeps the connections to each.
package sender
