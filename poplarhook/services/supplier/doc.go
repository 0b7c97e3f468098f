// Package supplier keeps a host's views of the store up to date, from another entry host or from the store itself.
//
// In each region one entry host follows the store and tells the next ones in
// rank, which tell others, so that neither the calls to the store nor what one
// host sends grow with the hosts. A host that does not hear those above it in
// time follows the store itself.
package supplier
