// Package warmer limits the work that one endpoint may get, based on its answers, its reports and the platform's list.
package warmer
