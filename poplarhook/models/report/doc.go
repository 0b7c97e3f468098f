// Package report defines what an exchange showed about its endpoint, including the reported load.
package report
