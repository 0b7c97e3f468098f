// Package awaiter waits in tests until a condition becomes true.
package awaiter
