// Package rolloutreporter reports to the decider of each order how the versions of the service answer.
package rolloutreporter
