// Package adopter decides which accepted configuration this host runs.
package adopter
