// Package group identifies the endpoints of one service in one region.
package group
