// Package experimenter runs a whole experiment: load, collection of records, account and result.
package experimenter
