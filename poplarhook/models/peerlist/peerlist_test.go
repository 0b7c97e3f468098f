package peerlist_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/peerlist"
)

func entry(id, address string) host.Host {
	return host.Host{ID: id, Role: host.RoleEntry, PeerAddress: address}
}

func TestListTakesPrecedenceAndReportedHostsExpire(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := peerlist.New("a")
	endpoint := host.Host{ID: "e", Role: host.RoleEndpoint, PeerAddress: "10.0.0.9:1"}
	removed := l.SetList([]host.Host{entry("a", "10.0.0.1:1"), entry("b", "10.0.0.2:1"), endpoint, entry("x", "")})
	c.Check(removed, qt.HasLen, 0)
	l.AddReported(now, entry("b", "10.0.0.7:1"))
	l.AddReported(now, entry("c", "10.0.0.3:1"))
	l.AddReported(now, entry("a", "10.0.0.8:1"))
	c.Check(l.Peers(now), qt.DeepEquals, []host.Host{entry("b", "10.0.0.2:1"), entry("c", "10.0.0.3:1")})
	c.Check(l.SetList(nil), qt.DeepEquals, []string{"b"})
	c.Check(l.Peers(now), qt.HasLen, 2)
	c.Check(l.Peers(now.Add(time.Minute)), qt.HasLen, 0)
}
