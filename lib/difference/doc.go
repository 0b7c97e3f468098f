// Package difference compares two documents of a team.
package difference
