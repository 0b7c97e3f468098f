// Package adopter decides which of the published configurations this host applies.
package adopter
