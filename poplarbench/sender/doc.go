// Package sender sends one request as a caller would and classifies its answer.
package sender
