// Package subscriber reads the views of another entry host from its stream.
package subscriber
