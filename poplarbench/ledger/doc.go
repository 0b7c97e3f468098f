// Package ledger holds what endpoints have recorded: executions, and how they bore their load.
package ledger
