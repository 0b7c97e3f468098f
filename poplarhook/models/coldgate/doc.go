// Package coldgate limits the rate of requests that one entry host sends to cold endpoints.
package coldgate
