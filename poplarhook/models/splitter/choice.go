package splitter

import "slices"

// Choice says which versions may serve one attempt of a request.
type Choice struct {
	// Service is the service of the request.
	Service string
	// IsTarget is true if the attempt goes to the target version as part of its share.
	IsTarget bool
	// Versions are the versions that may serve the attempt.
	Versions []string
}

// Admits reports whether an endpoint of the version may serve the attempt.
func (c Choice) Admits(version string) bool {
	return slices.Contains(c.Versions, version)
}
