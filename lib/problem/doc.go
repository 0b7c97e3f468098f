// Package problem holds a refusal of the administration API as problem details (RFC 9457).
package problem
