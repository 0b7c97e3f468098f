// Package awaiter waits until the entry hosts run a revision.
package awaiter
