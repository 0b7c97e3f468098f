// Package binding holds which endpoint a waiting request goes to.
package binding
