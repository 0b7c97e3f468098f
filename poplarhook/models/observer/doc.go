// Package observer keeps what one entry host has itself seen of a group's endpoints.
package observer
