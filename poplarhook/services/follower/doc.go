// Package follower keeps the items of one kind as the platform's store has them.
package follower
