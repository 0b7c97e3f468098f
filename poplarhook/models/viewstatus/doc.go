// Package viewstatus defines the state that an entry host reports in its dump.
package viewstatus
