// Package awaiter waits in tests for what comes about in the background.
package awaiter
