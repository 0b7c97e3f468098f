// Package evictor accounts for the memory of request bodies and decides which body is aborted when it runs short.
package evictor
