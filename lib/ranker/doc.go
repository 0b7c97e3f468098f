// Package ranker ranks members for a key by rendezvous hashing, so that hosts that know the same members compute the
// same ranks.
package ranker
