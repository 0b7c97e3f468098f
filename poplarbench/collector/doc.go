// Package collector fetches execution records and the regions of endpoints.
package collector
