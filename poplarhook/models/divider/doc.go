// Package divider distributes the requests of a class over its services by weight.
package divider
