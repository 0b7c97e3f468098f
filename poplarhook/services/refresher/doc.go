// Package refresher watches the platform's host list for new versions.
package refresher
