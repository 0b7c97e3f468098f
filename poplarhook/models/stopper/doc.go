// Package stopper decides which requests a host that stops may still offer to endpoints.
package stopper
