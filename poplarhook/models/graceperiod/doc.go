// Package graceperiod keeps endpoints in use whose entries expired only because the store was unavailable.
package graceperiod
