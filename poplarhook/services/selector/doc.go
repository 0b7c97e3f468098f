// Package selector selects the endpoint of each request by probing the endpoints that are likely to answer it first.
package selector
