// Package supplier keeps a host's views of the store up to date, from another entry host or from the store itself.
//
// In each region one entry host follows the store and tells the others, so that
// the calls to the store do not grow with the hosts. A host that does not hear
// that one in time follows the store itself.
package supplier
