// Package coldgate bounds the requests that one entry host sends to cold endpoints.
package coldgate
