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
	bodyMark   = "mark-in-the-body"
	headerMark = "mark-in-a-header"
	keyMark    = "mark-in-the-key"
	pathMark   = "mark-in-the-path"
)

// No part of a request that is bound to its home region is sent to or stored in another region. This also holds while
// availability zones of the home region are out of service or its endpoints fail, and when a caller sends the request
// to an entry host in another region.
func TestHomeBoundRequestsLeaveNoDataInOtherRegions(t *testing.T) {
	running := start(t, deployment.Kite().WithServices(deployment.Service{Name: "grant_payments", Servers: 6}),
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
		qt.Check(t, served[entry.Region] > 0, qt.IsTrue, qt.Commentf("through %s", entry.ID))
	}
	checkMarksStayInHomeRegion(t, running, requestMarks()...)
}

func sendPayment(t *testing.T, address string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/payments/"+pathMark, strings.NewReader(bodyMark))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("X-Marker", headerMark)
	request.Header["idempotency-key"] = []string{keyMark}
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	return response.StatusCode
}

// checkMarksStayInHomeRegion checks that no mark is found at the platform, in endpoints or in the dumps, metrics and
// logs of entry hosts outside the home region, and that the home region's endpoints received every mark.
func checkMarksStayInHomeRegion(t *testing.T, running *fleet.Fleet, marks ...string) {
	t.Helper()
	get := func(url string) string {
		text, err := running.Get(t.Context(), url)
		qt.Assert(t, err, qt.IsNil)
		return string(text)
	}
	checkNoMarks(t, "the platform", get(running.PlatformURL()+"/standin/dump"), marks...)
	for i, control := range running.ControlAddresses() {
		received := get("http://" + control + "/standin/received")
		if zone := running.Deployment().Zones[i]; zone.Region == "pohja" {
			for _, mark := range marks {
				qt.Check(t, strings.Contains(received, mark), qt.IsTrue, qt.Commentf("%s in the home region, zone %s", mark, zone.Name))
			}
			continue
		}
		checkNoMarks(t, "endpoints of "+running.Deployment().Zones[i].Name, received, marks...)
	}
	for _, entry := range running.Entries() {
		if entry.Region == "pohja" {
			continue
		}
		dump, err := running.Ctl(t.Context(), fleet.Operators, "dump", "--host", entry.ID)
		qt.Assert(t, err, qt.IsNil)
		checkNoMarks(t, "dump of "+entry.ID, dump, marks...)
		checkNoMarks(t, "metrics of "+entry.ID, get("http://"+entry.AdminAddress+"/metrics"), marks...)
		logs, err := filepath.Glob(filepath.Join(running.LogFolder(), entry.ID+"*"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(logs) > 0, qt.IsTrue)
		for _, path := range logs {
			text, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			checkNoMarks(t, path, string(text), marks...)
		}
	}
}

func requestMarks() []string {
	return []string{bodyMark, headerMark, keyMark, pathMark}
}

func checkNoMarks(t *testing.T, place, text string, marks ...string) {
	t.Helper()
	for _, mark := range marks {
		qt.Check(t, strings.Contains(text, mark), qt.IsFalse, qt.Commentf("%s in %s", mark, place))
	}
}
