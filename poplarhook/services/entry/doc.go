// Package entry assembles an entry host from its components and runs it.
package entry
