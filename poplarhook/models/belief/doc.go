// Package belief defines the state that an entry host reports in its dump.
package belief
