// Package refresher follows the platform's host list.
package refresher
