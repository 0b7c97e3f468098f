// Command demo runs the entry hosts of a deployment against stand-ins of its other parts for a limited time.
package main
