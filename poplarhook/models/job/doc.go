// Package job holds one caller's request on its way through an entry host.
package job
