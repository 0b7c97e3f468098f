// Package plotter draws the results of runs over time.
package plotter
