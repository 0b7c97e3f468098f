// Package planner decides which groups may serve a class of requests, and in which order.
package planner
