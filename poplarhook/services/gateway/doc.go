// Package gateway assembles an entry host on a platform whose store provides endpoints and configuration.
package gateway
