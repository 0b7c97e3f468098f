// Package snapshot holds the accepted configuration as every entry host applies it.
package snapshot
