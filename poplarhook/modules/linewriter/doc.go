// Package linewriter writes log lines in the background, so that logging never blocks the caller.
package linewriter
