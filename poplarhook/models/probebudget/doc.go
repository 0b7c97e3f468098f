// Package probebudget limits how often one entry host probes endpoints.
package probebudget
