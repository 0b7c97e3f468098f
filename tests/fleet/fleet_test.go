package fleet_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/index"
	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/poplarbench/experimenter"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/sender"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/mix"
	"poplarhook.example/tests/process"
)

const processLimit = 5 * time.Second

type endpointFaults struct {
	Leaving bool `json:"leaving"`
	Shed    bool `json:"shed"`
}

func start(c *qt.C, options ...fleet.Option) *fleet.Fleet {
	bin, err := fleet.Bin()
	c.Assert(err, qt.IsNil)
	options = append([]fleet.Option{fleet.WithEntries(0), fleet.WithLogFolder(c.TempDir())}, options...)
	running, err := fleet.Start(c.Context(), bin, deployment.Kite().WithScale(0.5), options...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = running.Stop() })
	return running
}

func TestStartAndStop(t *testing.T) {
	c := qt.New(t)
	running := start(c, fleet.WithEndpointProcessPerZone())
	c.Assert(running.Processes(), qt.HasLen, 7)
	c.Assert(running.ControlAddresses(), qt.HasLen, 6)
	c.Assert(running.Endpoints(), qt.HasLen, 8+6+6+6)

	var listed struct {
		Hosts []host.Host `json:"hosts"`
	}
	text, err := running.Get(t.Context(), running.HostListURL())
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(text, &listed), qt.IsNil)
	c.Assert(listed.Hosts, qt.HasLen, 26)

	var accepted index.Index
	text, err = running.Get(t.Context(), running.PlatformURL()+"/v1/objects/"+index.Key)
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(text, &accepted), qt.IsNil)
	c.Assert(accepted.Revision, qt.Equals, int64(1))
	c.Assert(accepted.Documents[0].Team, qt.Equals, "kite")

	c.Assert(running.Stop(), qt.IsNil)
	for _, p := range running.Processes() {
		c.Assert(syscall.Kill(p.ID(), 0), qt.Equals, syscall.ESRCH)
	}
}

// Without an entry host between them, the load generator and the endpoint stand-ins agree on request ids, answers and
// execution records.
func TestLoadSentDirectlyToEndpoint(t *testing.T) {
	c := qt.New(t)
	running := start(c)
	endpoint := running.Endpoints()[0]
	load := scenario.Scenario{DurationMS: 300, RatePerS: 100, Arrivals: scenario.Constant, Mix: []scenario.Entry{{
		Name: "order", Weight: 1, Method: http.MethodPost, Path: "/x", OnceOnly: true, IdempotencyKey: true,
		AnswerBytes: 2000, BodyBytes: 10, Marker: "marked", DeadlineMS: 1000, HomeRegions: []string{endpoint.Region},
	}}}
	run := func() (int64, int64, int64) {
		measured, err := experimenter.New(load, []string{endpoint.Address}, time.Now,
			experimenter.WithControls(running.ControlAddresses()...), experimenter.WithHostList(running.HostListURL()),
			experimenter.WithSenderOptions(sender.WithConnections(4)), experimenter.WithCollectDelay(0)).Run(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(measured.IsClean(), qt.IsTrue)
		return measured.Sent, measured.Served, measured.NotRun
	}
	sent, served, _ := run()
	c.Assert(served, qt.Equals, sent)
	executions, err := running.Executions(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(executions, qt.HasLen, int(sent))
	c.Assert(executions[0].Marker, qt.Equals, "marked")
	c.Assert(running.ControlEndpoint(t.Context(), endpoint.ID, endpointFaults{Shed: true}), qt.IsNil)
	sent, _, notRun := run()
	c.Assert(notRun, qt.Equals, sent)
	c.Assert(running.ControlEndpoint(t.Context(), "nobody", endpointFaults{}), qt.ErrorIs, fleet.ErrUnknown)
}

func TestProcessFaults(t *testing.T) {
	c := qt.New(t)
	running := start(c, fleet.WithStopTimeout(processLimit))
	c.Assert(running.Freeze("endpoints"), qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := running.Executions(ctx)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(running.Thaw("endpoints"), qt.IsNil)
	executions, err := running.Executions(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(executions, qt.DeepEquals, []execution.Execution(nil))
	c.Assert(running.Terminate(fleet.PlatformName), qt.IsNil)
	c.Assert(running.Kill("endpoints"), qt.IsNil)
	c.Assert(running.Kill("nobody"), qt.ErrorIs, fleet.ErrUnknown)
	c.Assert(running.Stop(), qt.IsNil)
}

// If a program never prints its ready line, Start returns after the start timeout and has ended all processes.
func TestStartTimesOutWhenProgramHangs(t *testing.T) {
	c := qt.New(t)
	bin := c.TempDir()
	pidFile := filepath.Join(bin, "pid")
	script := "#!/bin/sh\necho $$ > " + pidFile + "\nexec sleep 60\n"
	c.Assert(os.WriteFile(filepath.Join(bin, "standin"), []byte(script), 0o700), qt.IsNil)
	_, err := fleet.Start(t.Context(), bin, deployment.Kite(), fleet.WithStartTimeout(300*time.Millisecond), fleet.WithLogFolder(bin))
	c.Assert(err, qt.ErrorIs, process.ErrNotReady)
	text, err := os.ReadFile(pidFile)
	c.Assert(err, qt.IsNil)
	var pid int
	c.Assert(json.Unmarshal(text, &pid), qt.IsNil)
	c.Assert(syscall.Kill(pid, 0), qt.Equals, syscall.ESRCH)
}

// Callers are served through every entry host, including one that was stopped gracefully and started again.
func TestEntryHostsServeAfterRestart(t *testing.T) {
	c := qt.New(t)
	running := start(c, fleet.WithEntries(3))
	first := running.Entries()[0]
	c.Assert(running.Terminate(first.ID), qt.IsNil)
	c.Assert(running.StartEntry(t.Context(), first), qt.IsNil)
	c.Assert(running.WaitReady(t.Context()), qt.IsNil)
	load := scenario.Scenario{DurationMS: 500, RatePerS: 100, Arrivals: scenario.Constant, Mix: mix.Kite()}
	measured, err := experimenter.New(load, running.EntryAddresses(), time.Now,
		experimenter.WithControls(running.ControlAddresses()...), experimenter.WithHostList(running.HostListURL())).Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(measured.IsClean(), qt.IsTrue)
	c.Assert(measured.Served, qt.Equals, measured.Sent)

	_, err = running.Ctl(t.Context(), "kite", "zone", "out", "pohja-b")
	c.Assert(err, qt.ErrorIs, fleet.ErrCommand)
	c.Assert(running.ZoneOut(t.Context(), "pohja-b"), qt.IsNil)
	c.Assert(running.ZoneIn(t.Context(), "pohja-b"), qt.IsNil)
	var dumped struct {
		HostID string `json:"host_id"`
	}
	c.Assert(running.State(t.Context(), first.ID, &dumped), qt.IsNil)
	c.Assert(dumped.HostID, qt.Equals, first.ID)
	used, err := running.Usage()
	c.Assert(err, qt.IsNil)
	c.Assert(used.ResidentBytes > 0, qt.IsTrue)
	c.Assert(running.Stop(), qt.IsNil)
}

// hostListByID returns the hosts in the host list of a region by id.
func hostListByID(c *qt.C, running *fleet.Fleet, region string) map[string]host.Host {
	text, err := running.Get(c.Context(), running.HostListURLFor(region)+"/v1/hosts")
	c.Assert(err, qt.IsNil)
	var list struct {
		Hosts []host.Host `json:"hosts"`
	}
	c.Assert(json.Unmarshal(text, &list), qt.IsNil)
	byID := make(map[string]host.Host)
	for _, h := range list.Hosts {
		byID[h.ID] = h
	}
	return byID
}

// assertOtherRegionsBehindRelays checks that the host list of each region has the hosts' own addresses for the hosts of
// that region and different addresses for all other hosts.
func assertOtherRegionsBehindRelays(c *qt.C, running *fleet.Fleet) {
	for _, region := range []string{"pohja", "louna", "laane"} {
		byID := hostListByID(c, running, region)
		c.Assert(byID, qt.HasLen, len(running.Endpoints())+len(running.Entries()))
		for _, h := range running.Endpoints() {
			c.Assert(byID[h.ID].Address == h.Address, qt.Equals, h.Region == region)
		}
		for _, h := range running.Entries() {
			c.Assert(byID[h.ID].PeerAddress == h.PeerAddress, qt.Equals, h.Region == region)
		}
	}
}

// paymentP50MS returns the median latency in milliseconds of payments through an entry host; payments may only be
// processed in the region pohja.
func paymentP50MS(c *qt.C, running *fleet.Fleet, entry host.Host) float64 {
	load := scenario.Scenario{DurationMS: 1000, RatePerS: 50, Arrivals: scenario.Constant, Mix: []scenario.Entry{{
		Name: "grant_payment", Weight: 1, Method: http.MethodPost, Path: "/payments", OnceOnly: true, IdempotencyKey: true,
		BodyBytes: 10, DeadlineMS: 3000, HomeRegions: []string{"pohja"},
	}}}
	measured, err := experimenter.New(load, []string{entry.Address}, time.Now,
		experimenter.WithControls(running.ControlAddresses()...), experimenter.WithHostList(running.HostListURL())).Run(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(measured.IsClean(), qt.IsTrue)
	c.Assert(measured.Served, qt.Equals, measured.Sent)
	return measured.P50MS
}

// Requests that must be processed in another region take at least one network round trip to it, also through an entry
// host that was started again.
func TestRegionDelay(t *testing.T) {
	const oneWay = 12 * time.Millisecond
	c := qt.New(t)
	running := start(c, fleet.WithEntries(3), fleet.WithRegionDelay(oneWay))
	assertOtherRegionsBehindRelays(c, running)
	entryInOtherRegion := running.Entries()[1]
	c.Assert(running.Terminate(entryInOtherRegion.ID), qt.IsNil)
	c.Assert(running.StartEntry(t.Context(), entryInOtherRegion), qt.IsNil)
	c.Assert(running.WaitReady(t.Context()), qt.IsNil)
	assertOtherRegionsBehindRelays(c, running)

	entryInOtherRegion = running.Entries()[1]
	sameRegionMS, otherRegionMS := paymentP50MS(c, running, running.Entries()[0]), paymentP50MS(c, running, entryInOtherRegion)
	c.Assert(otherRegionMS >= 24, qt.IsTrue, qt.Commentf("p50 %v ms", otherRegionMS))
	c.Assert(sameRegionMS < otherRegionMS, qt.IsTrue, qt.Commentf("p50 %v ms in the same region, %v ms in another region", sameRegionMS, otherRegionMS))
	c.Assert(running.RemoveHost(t.Context(), entryInOtherRegion.ID), qt.IsNil)
	for _, region := range []string{"pohja", "louna", "laane"} {
		_, isListed := hostListByID(c, running, region)[entryInOtherRegion.ID]
		c.Assert(isListed, qt.IsFalse)
	}
	c.Assert(running.Stop(), qt.IsNil)
}
