// Package report holds what an exchange showed about its endpoint.
package report
