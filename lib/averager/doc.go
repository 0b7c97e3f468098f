// Package averager keeps a moving mean of durations for each of several keys.
package averager
