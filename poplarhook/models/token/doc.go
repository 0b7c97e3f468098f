// Package token defines the messages between the hosts and the quota pool host, which grants tokens for requests.
package token
