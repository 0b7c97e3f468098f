// Package demonstrator runs a deployment under load while an availability zone is taken out of service and brought
// back, and checks the outcome.
package demonstrator
