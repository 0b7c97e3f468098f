// Package budgeter bounds retries and hedges to a share of recent work.
package budgeter
