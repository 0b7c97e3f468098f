// Package collector adds up what entry hosts report about the versions of a service.
package collector
