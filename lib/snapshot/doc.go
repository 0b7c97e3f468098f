// Package snapshot defines the accepted configuration of all teams, which every entry host applies.
package snapshot
