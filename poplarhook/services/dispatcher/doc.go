// Package dispatcher takes a classified request to its end: bind, send, answer, with retries and hedges where the class allows.
package dispatcher
