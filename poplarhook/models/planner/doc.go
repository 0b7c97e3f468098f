// Package planner decides which groups may serve a class of work, and in which order.
package planner
