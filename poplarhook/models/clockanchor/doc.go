// Package clockanchor converts times of another host's clock into this host's clock without trusting the network.
package clockanchor
