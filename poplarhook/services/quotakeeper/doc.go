// Package quotakeeper limits the requests of each workspace over all hosts: it carries the messages between this host and
// the quota pool host, and answers those of other hosts while this one is their pool host.
package quotakeeper
