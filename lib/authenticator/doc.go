// Package authenticator finds the workspace that holds an API key, in one configuration.
package authenticator
