// Package connector opens a relay of its own to each of many targets.
package connector
