// Package broadcaster streams the updates that this entry host receives from the store to other entry hosts.
package broadcaster
