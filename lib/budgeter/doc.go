// Package budgeter limits retries and hedges to a share of recent first attempts.
package budgeter
