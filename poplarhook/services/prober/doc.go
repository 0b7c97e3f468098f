// Package prober sends health probes to endpoints that get no requests.
package prober
