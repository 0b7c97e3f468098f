// Package averager computes moving means of durations by key.
package averager
