// Package sender sends requests to endpoints and keeps connections to them open.
package sender
