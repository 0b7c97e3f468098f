// Package gateway joins the parts of an entry host whose platform gives endpoints and configuration.
package gateway
