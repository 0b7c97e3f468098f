// Package endpointrecords holds the records of endpoints: their executions, and the overloads and peaks of their load.
package endpointrecords
