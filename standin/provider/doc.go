// Package provider plays the whole platform: the object store, the host list and the control of both.
package provider
