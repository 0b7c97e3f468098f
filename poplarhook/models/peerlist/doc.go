// Package peerlist merges the platform's host list with the hosts that peers report, and lists the hosts to connect to.
package peerlist
