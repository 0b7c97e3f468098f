// Package oracle models the policy that knows every true queue, as a bound to compare measured policies with.
package oracle
