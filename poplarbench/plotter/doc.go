// Package plotter draws the course of runs.
package plotter
