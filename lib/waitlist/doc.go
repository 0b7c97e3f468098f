// Package waitlist implements a priority queue that is ordered by urgency and then by deadline.
package waitlist
