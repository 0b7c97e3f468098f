// Package replayer runs recorded traces against stated outcomes in tests.
package replayer
