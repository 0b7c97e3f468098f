// Package deployment holds the sizes, places and classes of the two users' deployments.
package deployment
