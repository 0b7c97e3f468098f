// Package delegator keeps the account of one host in the quotas that all hosts share: the pool host that it uses, the
// promise not to use its own share meanwhile, its tokens, and the requests that wait for one.
//
// It has no clock and no network: the caller passes the time, and carries out the actions that Tick returns.
package delegator
