// Package pacer draws service times and stretches them by an endpoint's slow spells.
package pacer
