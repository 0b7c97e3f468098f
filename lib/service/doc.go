// Package service defines a service as operators declare it.
package service
