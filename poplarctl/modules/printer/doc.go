// Package printer writes command results as text tables or as JSON.
package printer
