// Package warmer decides how much work one endpoint may get, from what has been seen of it.
package warmer
