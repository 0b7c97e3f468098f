// Package delayer tells for each class after which delay a request is sent a second time.
package delayer
