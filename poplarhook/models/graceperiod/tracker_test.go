package graceperiod_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/graceperiod"
)

func listOf(hosts ...host.Host) map[string]host.Host {
	listed := make(map[string]host.Host)
	for _, h := range hosts {
		listed[h.ID] = h
	}
	return listed
}

func ids(hosts map[string]host.Host) []string {
	return slices.Sorted(maps.Keys(hosts))
}

func endpoint(id, state string) host.Host {
	return host.Host{ID: id, Address: "10.0.0." + id + ":80", State: state}
}

func TestExpiredEntriesStayInUseDuringGracePeriod(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	before := listOf(endpoint("1", host.StateLive), endpoint("2", host.StateLive), endpoint("3", host.StateLeaving))
	k := graceperiod.New()

	c.Assert(ids(k.Apply(start, before, listOf(endpoint("1", host.StateLive)))), qt.DeepEquals, []string{"1"}, qt.Commentf("no grace period yet"))

	c.Assert(k.Extend(start.Add(2*time.Second)), qt.IsTrue)
	c.Assert(ids(k.Apply(start, before, listOf(endpoint("1", host.StateLive)))), qt.DeepEquals, []string{"1", "2"}, qt.Commentf("3 was leaving"))
	now := start.Add(time.Second)
	listed := listOf(endpoint("1", host.StateLive))
	c.Assert(ids(k.Apply(now, listed, listed)), qt.DeepEquals, []string{"1", "2"}, qt.Commentf("a later view"))
	c.Assert(ids(k.Apply(start.Add(2*time.Second), listed, listed)), qt.DeepEquals, []string{"1"}, qt.Commentf("the grace period is over"))
}

func TestExpiredEntryWithReusedAddressIsDropped(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	k := graceperiod.New()
	c.Assert(k.Extend(start.Add(2*time.Second)), qt.IsTrue)
	successor := endpoint("1", host.StateLive)
	successor.ID = "9"
	c.Assert(ids(k.Apply(start, listOf(endpoint("1", host.StateLive)), listOf(successor))), qt.DeepEquals, []string{"9"})
}
