// Package warmer decides how much work an endpoint bears while it starts cold, warms up or leaves.
package warmer
