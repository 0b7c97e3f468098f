// Package conductor decides the phases of the orders that move services to other versions.
package conductor
