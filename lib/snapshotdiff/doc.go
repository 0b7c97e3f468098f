// Package snapshotdiff expresses a configuration as its difference from an earlier one.
package snapshotdiff
