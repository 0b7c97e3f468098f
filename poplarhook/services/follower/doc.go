// Package follower lists and watches the items of one kind in the platform's store, and passes each new view on.
package follower
