package workspace

// Workspace is one workspace as the configuration declares it. Keys are held only as hashes.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes of the workspace's API keys, in hex.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Urgency is one of those of package class and replaces that of the class; empty if the workspace declares none.
	Urgency string `json:"urgency,omitempty"`
	// RatePerSecond and Burst are the quota over all hosts: requests per second, and requests beyond that at once. A rate
	// of zero means no quota.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// HomeRegions are the regions in which requests of the workspace may be served; empty means every region.
	HomeRegions []string `json:"home_regions,omitempty"`
	// Defect says why requests of the workspace cannot be served: its entry in the configuration cannot be read. It is
	// empty otherwise.
	Defect string `json:"defect,omitempty"`
	// KeysUnreadable is true if some of the workspace's keys cannot be read, so that an unknown key may be one of them.
	KeysUnreadable bool `json:"keys_unreadable,omitempty"`
}

// WithoutKeys returns a copy without the hashes of the keys, for operators and logs.
func (w Workspace) WithoutKeys() Workspace {
	w.KeyHashes = nil
	return w
}

// WithDefect returns a copy whose requests cannot be served for the given reason.
func (w Workspace) WithDefect(reason string) Workspace {
	w.Defect = reason
	return w
}

// HasQuota reports whether the number of the workspace's requests is limited.
func (w Workspace) HasQuota() bool {
	return w.RatePerSecond > 0
}
