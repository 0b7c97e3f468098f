// Package peerlist merges the platform's host list and what peers say into the hosts to link to.
package peerlist
