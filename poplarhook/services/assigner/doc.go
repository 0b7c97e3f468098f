// Package assigner determines which entry host owns each group.
package assigner
