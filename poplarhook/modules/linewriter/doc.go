// Package linewriter writes log lines without ever holding up those who log.
package linewriter
