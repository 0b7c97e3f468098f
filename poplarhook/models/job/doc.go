// Package job defines the request of a caller that an entry host processes.
package job
