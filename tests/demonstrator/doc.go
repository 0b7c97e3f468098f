// Package demonstrator shows a deployment under load while an availability zone leaves and returns.
package demonstrator
