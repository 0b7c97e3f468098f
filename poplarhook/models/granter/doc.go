// Package granter keeps the accounts of a quota pool host: which hosts delegated their shares of all quotas, and the
// tokens of each workspace that these shares yield.
package granter
