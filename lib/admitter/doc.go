// Package admitter decides which queued requests cannot be answered before their deadlines.
package admitter
