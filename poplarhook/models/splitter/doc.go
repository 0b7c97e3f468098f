// Package splitter splits the requests of a service among the versions of its endpoints, as orders and their states say.
package splitter
