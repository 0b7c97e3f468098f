// Package sender sends requests as a caller would and classifies their answers.
package sender
