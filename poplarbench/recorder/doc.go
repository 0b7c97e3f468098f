// Package recorder aggregates the outcomes of a run into counts and latency histograms.
package recorder
