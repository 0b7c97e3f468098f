// Package supplier keeps a host's views of the store up to date, from another entry host or from the store itself.
//
// In each region one entry host follows the store and sends its updates to the
// next hosts in rank, which forward them to others, so that neither the calls to
// the store nor the traffic of a single host grow with the number of hosts. A
// host that receives nothing from higher-ranked hosts in time follows the store
// itself.
package supplier
