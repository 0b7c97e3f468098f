// Package assigner names the entry host that owns each group.
package assigner
