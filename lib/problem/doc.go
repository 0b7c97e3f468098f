// Package problem defines the error responses of the administration API as problem details (RFC 9457).
package problem
