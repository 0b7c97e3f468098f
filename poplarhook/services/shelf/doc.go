// Package shelf keeps the newest view of one kind, whoever tells it.
package shelf
