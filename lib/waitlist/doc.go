// Package waitlist orders what waits by urgency and then by deadline.
package waitlist
