// Package secured tests deployments whose entry hosts authenticate each other with certificates.
package secured
