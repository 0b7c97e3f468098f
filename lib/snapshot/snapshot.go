package snapshot

import (
	"slices"

	"poplarhook.example/lib/defect"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/limit"
	"poplarhook.example/lib/service"
	"poplarhook.example/lib/workspace"
)

// Snapshot is the whole accepted configuration at one revision.
type Snapshot struct {
	Revision  int64               `json:"revision"`
	ChangeID  string              `json:"change_id"`
	Documents []document.Document `json:"documents"`
	ZonesOut  []string            `json:"zones_out"`
	// Services and Limit are empty unless the platform declares them.
	Services []service.Service `json:"services,omitempty"`
	Limit    limit.Limit       `json:"limit,omitzero"`
	// HasWorkspaces is true if the configuration declares workspaces, so that requests need a key.
	HasWorkspaces bool                  `json:"has_workspaces,omitempty"`
	Workspaces    []workspace.Workspace `json:"workspaces,omitempty"`
	// Defects are the entries that cannot be read. A snapshot that has only defects and no revision says that the
	// newest configuration cannot be read at all.
	Defects []defect.Defect `json:"defects,omitempty"`
}

// IsUnreadable reports whether the newest configuration cannot be read at all.
func (s Snapshot) IsUnreadable() bool {
	return s.Revision == 0 && len(s.Defects) > 0
}

// Service returns the declaration of the service and whether there is one.
func (s Snapshot) Service(name string) (service.Service, bool) {
	i := slices.IndexFunc(s.Services, func(declared service.Service) bool { return declared.Name == name })
	if i < 0 {
		return service.Service{}, false
	}
	return s.Services[i], true
}

// IsZoneOut reports whether operators have taken the availability zone out of service.
func (s Snapshot) IsZoneOut(zone string) bool {
	return slices.Contains(s.ZonesOut, zone)
}

// WithZonesOut returns a copy in which exactly the given availability zones are out of service.
func (s Snapshot) WithZonesOut(zones ...string) Snapshot {
	s.ZonesOut = slices.Clone(zones)
	return s
}

// WithoutKeys returns a copy without the hashes of the workspaces' keys, for operators.
func (s Snapshot) WithoutKeys() Snapshot {
	if len(s.Workspaces) == 0 {
		return s
	}
	kept := make([]workspace.Workspace, 0, len(s.Workspaces))
	for _, w := range s.Workspaces {
		kept = append(kept, w.WithoutKeys())
	}
	s.Workspaces = kept
	return s
}

// WithRevision returns a copy with the given revision.
func (s Snapshot) WithRevision(revision int64) Snapshot {
	s.Revision = revision
	return s
}
