// Package replayer replays recorded traces in tests.
package replayer
