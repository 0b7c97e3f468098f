package peerlist

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"poplarhook.example/lib/host"
)

// reportTTL is how long an entry host is kept that peers have reported and the platform's host list does not have.
const reportTTL = 30 * time.Second

// Peerlist holds the addresses of the other entry hosts. It is safe for concurrent use.
type Peerlist struct {
	selfID string

	mu       sync.Mutex
	listed   map[string]host.Host
	reported map[string]reportedHost
}

type reportedHost struct {
	host.Host
	at time.Time
}

// New returns an empty Peerlist for the host with the given id.
func New(selfID string) *Peerlist {
	return &Peerlist{selfID: selfID, listed: map[string]host.Host{}, reported: map[string]reportedHost{}}
}

// SetList replaces the platform's host list and returns the ids of the entry hosts that are no longer in it.
func (l *Peerlist) SetList(hosts []host.Host) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]host.Host{}
	for _, h := range hosts {
		if h.Role == host.RoleEntry && l.isPeer(h) {
			listed[h.ID] = h
		}
	}
	var removed []string
	for id := range l.listed {
		if _, ok := listed[id]; !ok {
			removed = append(removed, id)
		}
	}
	l.listed = listed
	slices.Sort(removed)
	return removed
}

// AddReported records that a peer has received a heartbeat from the host.
func (l *Peerlist) AddReported(now time.Time, h host.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isPeer(h) {
		l.reported[h.ID] = reportedHost{Host: h, at: now}
	}
}

// Peers returns the hosts to connect to, sorted by id. For a host in the platform's list, the list's entry is used
// instead of the one that peers reported.
func (l *Peerlist) Peers(now time.Time) []host.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]host.Host, 0, len(l.listed))
	for _, h := range l.listed {
		peers = append(peers, h)
	}
	for id, m := range l.reported {
		if now.Sub(m.at) >= reportTTL {
			delete(l.reported, id)
			continue
		}
		if _, ok := l.listed[id]; !ok {
			peers = append(peers, m.Host)
		}
	}
	slices.SortFunc(peers, func(a, b host.Host) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

func (l *Peerlist) isPeer(h host.Host) bool {
	return h.ID != "" && h.ID != l.selfID && h.PeerAddress != ""
}
