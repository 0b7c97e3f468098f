// Package surveyor binds each request by a fresh look at the endpoints that are likely to answer it soonest.
package surveyor
