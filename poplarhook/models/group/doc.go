// Package group names the endpoints of one service in one region.
package group
