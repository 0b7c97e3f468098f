// Package recorder gathers the outcomes of a run into counts and latency histograms.
package recorder
