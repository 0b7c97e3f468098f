package administrator

import (
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/zone"
)

func (a *Administrator) takeZoneOut(w http.ResponseWriter, r *http.Request, team string) {
	a.publish(w, r, proposal.ForZoneOut(r.URL.Query().Get("change_id"), team, a.clock(), mux.Vars(r)["zone"]))
}

func (a *Administrator) bringZoneBack(w http.ResponseWriter, r *http.Request, team string) {
	a.publish(w, r, proposal.ForZoneIn(r.URL.Query().Get("change_id"), team, a.clock(), mux.Vars(r)["zone"]))
}

// listZones writes the known availability zones, and those that are out of service but unknown to this host.
func (a *Administrator) listZones(w http.ResponseWriter, r *http.Request, _ string) {
	current, _, err := a.publisher.Index(r.Context())
	if err != nil {
		a.refuse(w, r, err)
		return
	}
	list := []zone.Zone{}
	for _, z := range a.zones() {
		list = append(list, z.WithOut(slices.Contains(current.ZonesOut, z.Name)))
	}
	for _, name := range current.ZonesOut {
		if !slices.ContainsFunc(list, func(z zone.Zone) bool { return z.Name == name }) {
			list = append(list, zone.Zone{Name: name, Out: true})
		}
	}
	slices.SortFunc(list, func(a, b zone.Zone) int { return strings.Compare(a.Region+"/"+a.Name, b.Region+"/"+b.Name) })
	writeAtRevision(w, current.Revision, list)
}
