// Package deployment reads and checks the settings file of an entry host that gets endpoints and configuration from a
// platform.
package deployment
