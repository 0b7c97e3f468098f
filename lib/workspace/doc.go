// Package workspace describes a workspace: a customer's callers, who share keys, a quota and home regions.
package workspace
