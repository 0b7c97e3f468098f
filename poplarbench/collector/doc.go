// Package collector fetches the records of endpoint stand-ins and the platform's host list.
package collector
