<<<<<<< HEAD
// Package warmer decides how much work an endpoint bears while it starts cold, warms up or leaves.
=======
// Package warmer decides how much work one endpoint may get, from what has been seen of it.
>>>>>>> decisions
package warmer
