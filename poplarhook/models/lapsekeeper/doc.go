// Package lapsekeeper keeps endpoints in use whose entries lapsed only because the store was away.
package lapsekeeper
