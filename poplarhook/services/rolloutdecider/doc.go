// Package rolloutdecider decides the phases of orders from what all entry hosts report, and writes them to the store.
package rolloutdecider
