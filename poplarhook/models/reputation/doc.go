// Package reputation remembers how often endpoints failed lately.
package reputation
