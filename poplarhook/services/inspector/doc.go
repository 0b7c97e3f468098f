// Package inspector requests from the other entry hosts which configuration each of them runs.
package inspector
