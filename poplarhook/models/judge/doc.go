// Package judge decides whether a version of a service is worse than the versions before it.
package judge
