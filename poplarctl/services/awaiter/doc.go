// Package awaiter waits until all live entry hosts run a configuration revision.
package awaiter
