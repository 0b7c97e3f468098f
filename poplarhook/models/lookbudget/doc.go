// Package lookbudget limits how often one entry host probes endpoints.
package lookbudget
