// Package deployment defines the sizes, regions, availability zones and classes of the two users' deployments.
package deployment
