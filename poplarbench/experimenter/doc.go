// Package experimenter runs an experiment: it sends the load, collects the endpoints' records, compares them with the
// outcomes and returns the result.
package experimenter
