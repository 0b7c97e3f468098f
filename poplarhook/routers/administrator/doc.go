// Package administrator answers the operators' side of an entry host.
package administrator
