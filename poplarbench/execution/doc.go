// Package execution holds one endpoint's record of having run a request.
package execution
