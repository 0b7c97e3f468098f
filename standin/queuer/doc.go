// Package queuer assigns an endpoint's slots to requests in the order of their arrival.
package queuer
