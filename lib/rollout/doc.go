// Package rollout defines the order to move a service to another version of its endpoints, and the state of carrying it
// out.
package rollout
