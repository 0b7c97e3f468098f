// Package supervisor runs several endpoints in one process and serves one control API for them.
package supervisor
