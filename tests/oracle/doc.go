// Package oracle simulates an ideal policy that knows the queue of every endpoint, as a bound to compare measured
// policies with.
package oracle
