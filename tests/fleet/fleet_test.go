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
	c.Assert(running.Controls(), qt.HasLen, 6)
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

// The generator and the stand-ins agree on ids, answers and records.
func TestLoadStraightAtAnEndpoint(t *testing.T) {
	c := qt.New(t)
	running := start(c)
	endpoint := running.Endpoints()[0]
	load := scenario.Scenario{DurationMS: 300, RatePerS: 100, Arrivals: scenario.Constant, Mix: []scenario.Entry{{
		Name: "order", Weight: 1, Method: http.MethodPost, Path: "/x", OnceOnly: true, IdempotencyKey: true,
		AnswerBytes: 2000, BodyBytes: 10, Marker: "marked", DeadlineMS: 1000, HomeRegions: []string{endpoint.Region},
	}}}
	run := func() (int64, int64, int64) {
		measured, err := experimenter.New(load, []string{endpoint.Address}, time.Now,
			experimenter.WithControls(running.Controls()...), experimenter.WithHostList(running.HostListURL()),
			experimenter.WithSending(sender.WithConnections(4)), experimenter.WithSettle(0)).Run(t.Context())
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

func TestFaults(t *testing.T) {
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

// A program that prints nothing ends the start in bounded time, and no process is left.
func TestStartOfProgramsThatHang(t *testing.T) {
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

// Callers are served through every entry host, also through one that has stopped gracefully and started anew.
func TestEntriesServe(t *testing.T) {
	c := qt.New(t)
	running := start(c, fleet.WithEntries(3))
	first := running.Entries()[0]
	c.Assert(running.Terminate(first.ID), qt.IsNil)
	c.Assert(running.StartEntry(t.Context(), first), qt.IsNil)
	c.Assert(running.WaitReady(t.Context()), qt.IsNil)
	load := scenario.Scenario{DurationMS: 500, RatePerS: 100, Arrivals: scenario.Constant, Mix: mix.Kite()}
	measured, err := experimenter.New(load, running.EntryAddresses(), time.Now,
		experimenter.WithControls(running.Controls()...), experimenter.WithHostList(running.HostListURL())).Run(t.Context())
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

// listed returns the addresses of the hosts in a region's list, by id.
func listed(c *qt.C, running *fleet.Fleet, region string) map[string]host.Host {
	text, err := running.Get(c.Context(), running.ListURLOf(region)+"/v1/hosts")
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

// assertDistant checks that each region reaches its own hosts straight and those of others by other addresses.
func assertDistant(c *qt.C, running *fleet.Fleet) {
	for _, region := range []string{"pohja", "louna", "laane"} {
		byID := listed(c, running, region)
		c.Assert(byID, qt.HasLen, len(running.Endpoints())+len(running.Entries()))
		for _, h := range running.Endpoints() {
			c.Assert(byID[h.ID].Address == h.Address, qt.Equals, h.Region == region)
		}
		for _, h := range running.Entries() {
			c.Assert(byID[h.ID].PeerAddress == h.PeerAddress, qt.Equals, h.Region == region)
		}
	}
}

// payments returns the p50 in milliseconds of payments bound to the region pohja through an entry host.
func payments(c *qt.C, running *fleet.Fleet, entry host.Host) float64 {
	load := scenario.Scenario{DurationMS: 1000, RatePerS: 50, Arrivals: scenario.Constant, Mix: []scenario.Entry{{
		Name: "grant_payment", Weight: 1, Method: http.MethodPost, Path: "/payments", OnceOnly: true, IdempotencyKey: true,
		BodyBytes: 10, DeadlineMS: 3000, HomeRegions: []string{"pohja"},
	}}}
	measured, err := experimenter.New(load, []string{entry.Address}, time.Now,
		experimenter.WithControls(running.Controls()...), experimenter.WithHostList(running.HostListURL())).Run(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(measured.IsClean(), qt.IsTrue)
	c.Assert(measured.Served, qt.Equals, measured.Sent)
	return measured.P50MS
}

// Requests bound to another region take the way there and back, also after an entry host has started anew.
func TestDistance(t *testing.T) {
	const oneWay = 12 * time.Millisecond
	c := qt.New(t)
	running := start(c, fleet.WithEntries(3), fleet.WithDistance(oneWay))
	assertDistant(c, running)
	second := running.Entries()[1]
	c.Assert(running.Terminate(second.ID), qt.IsNil)
	c.Assert(running.StartEntry(t.Context(), second), qt.IsNil)
	c.Assert(running.WaitReady(t.Context()), qt.IsNil)
	assertDistant(c, running)

	second = running.Entries()[1]
	near, far := payments(c, running, running.Entries()[0]), payments(c, running, second)
	c.Assert(far >= 24, qt.IsTrue, qt.Commentf("p50 %v ms", far))
	c.Assert(near < far, qt.IsTrue, qt.Commentf("p50 %v ms near, %v ms far", near, far))
	c.Assert(running.RemoveHost(t.Context(), second.ID), qt.IsNil)
	for _, region := range []string{"pohja", "louna", "laane"} {
		_, left := listed(c, running, region)[second.ID]
		c.Assert(left, qt.IsFalse)
	}
	c.Assert(running.Stop(), qt.IsNil)
}
