// Package deployment reads and checks the settings file of an entry host whose platform lists endpoints and configuration.
package deployment
