// Package mix holds the loads of the two users' deployments.
package mix
