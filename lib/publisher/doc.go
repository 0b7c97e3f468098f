// Package publisher gets proposed changes accepted by the store, each wholly or not at all.
package publisher
