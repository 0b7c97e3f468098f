// Package heartbeater tells other entry hosts that this one is alive and learns the same of them.
package heartbeater
