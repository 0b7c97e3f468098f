// Package divider shares the requests of a class among services by weight.
package divider
