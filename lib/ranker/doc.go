// Package ranker ranks members for a key so that all who know the same members agree without talking.
package ranker
