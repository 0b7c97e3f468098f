package peerlist

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"poplarhook.example/lib/host"
)

// mentionTTL is how long a host that only others mention is kept.
const mentionTTL = 30 * time.Second

// Peerlist knows where other entry hosts can be reached; it is safe for concurrent use.
type Peerlist struct {
	selfID string

	mu        sync.Mutex
	listed    map[string]host.Host
	mentioned map[string]mention
}

type mention struct {
	host.Host
	at time.Time
}

// New returns an empty Peerlist of the host with the given id.
func New(selfID string) *Peerlist {
	return &Peerlist{selfID: selfID, listed: map[string]host.Host{}, mentioned: map[string]mention{}}
}

// SetList takes over the platform's list and returns the ids of entry hosts that left it.
func (l *Peerlist) SetList(hosts []host.Host) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := map[string]host.Host{}
	for _, h := range hosts {
		if h.Role == host.RoleEntry && l.isPeer(h) {
			listed[h.ID] = h
		}
	}
	var gone []string
	for id := range l.listed {
		if _, ok := listed[id]; !ok {
			gone = append(gone, id)
		}
	}
	l.listed = listed
	slices.Sort(gone)
	return gone
}

// Mention records that a peer has heard from the host.
func (l *Peerlist) Mention(now time.Time, h host.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isPeer(h) {
		l.mentioned[h.ID] = mention{Host: h, at: now}
	}
}

// Peers returns the hosts to link to, sorted by id; the platform's list goes before mentions.
func (l *Peerlist) Peers(now time.Time) []host.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]host.Host, 0, len(l.listed))
	for _, h := range l.listed {
		peers = append(peers, h)
	}
	for id, m := range l.mentioned {
		if now.Sub(m.at) >= mentionTTL {
			delete(l.mentioned, id)
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
