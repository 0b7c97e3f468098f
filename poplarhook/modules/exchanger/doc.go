// Package exchanger sends requests to one endpoint and reports for each failed one whether any byte of it was sent.
package exchanger
