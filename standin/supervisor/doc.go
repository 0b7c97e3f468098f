// Package supervisor runs several endpoints in one process and controls them at one address.
package supervisor
