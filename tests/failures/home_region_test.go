package failures_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// Markers in the parts of a request that must stay in its home region.
const (
	bodyMarker   = "mark-in-the-body"
	headerMarker = "mark-in-a-header"
	keyMarker    = "mark-in-the-key"
	pathMarker   = "mark-in-the-path"
)

// No part of a request that is bound to its home region is sent to or stored in another region. This also holds while
// availability zones of the home region are out of service or its endpoints fail, and when a caller sends the request
// to an entry host in another region.
func TestHomeBoundRequestsLeaveNoDataInOtherRegions(t *testing.T) {
	running := startFleet(t, deployment.Kite().WithServices(deployment.Service{Name: "grant_payments", Servers: 6}),
		fleet.WithEntries(6), fleet.WithEndpointProcessPerZone(), fleet.WithEndpointArguments("--record"),
		fleet.WithEntryArguments("--log-level", "debug"))
	served := make(map[string]int)
	sendPayments := func(rounds int) {
		for range rounds {
			for _, entry := range running.Entries() {
				if sendPayment(t, entry.Address) == http.StatusOK {
					served[entry.Region]++
				}
			}
		}
	}
	sendPayments(20)
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	sendPayments(20)
	for _, endpoint := range running.Endpoints() {
		if endpoint.AvailabilityZone == "pohja-a" {
			setEndpointFaults(t, running, endpoint, endpointFaults{Abrupt: new(true)})
		}
	}
	sendPayments(1)
	qt.Assert(t, running.ZoneOut(t.Context(), "pohja-a"), qt.IsNil)
	sendPayments(1)
	t.Logf("payments served, per region of the entry host: %v", served)
	for _, entry := range running.Entries() {
		qt.Check(t, served[entry.Region] > 0, qt.IsTrue, qt.Commentf("payments served through %s", entry.ID))
	}
	checkMarkersStayInHomeRegion(t, running, requestMarkers()...)
}

func sendPayment(t *testing.T, address string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/payments/"+pathMarker, strings.NewReader(bodyMarker))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("X-Marker", headerMarker)
	request.Header["idempotency-key"] = []string{keyMarker}
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	return response.StatusCode
}

// checkMarkersStayInHomeRegion checks that no marker is found at the platform, or outside the home region in what
// endpoints received or in the dumps, metrics and logs of entry hosts, and that the home region's endpoints received
// every marker.
func checkMarkersStayInHomeRegion(t *testing.T, running *fleet.Fleet, markers ...string) {
	t.Helper()
	get := func(url string) string {
		text, err := running.Get(t.Context(), url)
		qt.Assert(t, err, qt.IsNil)
		return string(text)
	}
	checkNoMarkers(t, "the platform", get(running.PlatformURL()+"/standin/dump"), markers...)
	for i, control := range running.ControlAddresses() {
		received := get("http://" + control + "/standin/received")
		if zone := running.Deployment().Zones[i]; zone.Region == "pohja" {
			for _, marker := range markers {
				qt.Check(t, strings.Contains(received, marker), qt.IsTrue, qt.Commentf("%s in the home region, zone %s", marker, zone.Name))
			}
			continue
		}
		checkNoMarkers(t, "endpoints of "+running.Deployment().Zones[i].Name, received, markers...)
	}
	for _, entry := range running.Entries() {
		if entry.Region == "pohja" {
			continue
		}
		dump, err := running.Ctl(t.Context(), fleet.Operators, "dump", "--host", entry.ID)
		qt.Assert(t, err, qt.IsNil)
		checkNoMarkers(t, "dump of "+entry.ID, dump, markers...)
		checkNoMarkers(t, "metrics of "+entry.ID, get("http://"+entry.AdminAddress+"/metrics"), markers...)
		logs, err := filepath.Glob(filepath.Join(running.LogFolder(), entry.ID+"*"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(logs) > 0, qt.IsTrue)
		for _, path := range logs {
			text, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			checkNoMarkers(t, path, string(text), markers...)
		}
	}
}

func requestMarkers() []string {
	return []string{bodyMarker, headerMarker, keyMarker, pathMarker}
}

func checkNoMarkers(t *testing.T, location, text string, markers ...string) {
	t.Helper()
	for _, marker := range markers {
		qt.Check(t, strings.Contains(text, marker), qt.IsFalse, qt.Commentf("%s in %s", marker, location))
	}
}
