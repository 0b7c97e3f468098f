// Package broadcaster tells other entry hosts what this one hears from the store.
package broadcaster
