// Package coordinator binds requests to endpoints together with the other entry hosts.
//
// It processes a group by updating the group's owner, control budget and cold permission, and by handling what is due
// in the group. An open endpoint is one that may get new requests.
package coordinator
