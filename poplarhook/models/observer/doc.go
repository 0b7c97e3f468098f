// Package observer keeps what one entry host itself has observed of a group's endpoints.
package observer
