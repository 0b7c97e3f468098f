// Package publisher commits proposed changes of the configuration to the store, each as a whole or not at all.
package publisher
