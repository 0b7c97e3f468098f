// Package submitter sends a change to the entry hosts until its outcome is known.
package submitter
