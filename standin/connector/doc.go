// Package connector opens a separate relay to each of many targets.
package connector
