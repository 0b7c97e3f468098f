package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"poplarhook.example/lib/host"
)

// mentionTTL is how long a host that only others mention is kept.
const mentionTTL = 30 * time.Second

// Directory knows where other entry hosts can be reached; it is safe for concurrent use.
type Directory struct {
	selfID string

	mu        sync.Mutex
	listed    map[string]host.Host
	mentioned map[string]mention
}

type mention struct {
	host.Host
	at time.Time
}

// New returns an empty Directory of the host with the given id.
func New(selfID string) *Directory {
	return &Directory{selfID: selfID, listed: map[string]host.Host{}, mentioned: map[string]mention{}}
}

// SetList takes over the platform's list and returns the ids of entry hosts that left it.
func (d *Directory) SetList(hosts []host.Host) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]host.Host{}
	for _, h := range hosts {
		if h.Role == host.RoleEntry && d.isPeer(h) {
			listed[h.ID] = h
		}
	}
	var gone []string
	for id := range d.listed {
		if _, ok := listed[id]; !ok {
			gone = append(gone, id)
		}
	}
	d.listed = listed
	slices.Sort(gone)
	return gone
}

// Mention records that a peer has heard from the host.
func (d *Directory) Mention(now time.Time, h host.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isPeer(h) {
		d.mentioned[h.ID] = mention{Host: h, at: now}
	}
}

// Peers returns the hosts to link to, sorted by id; the platform's list goes before mentions.
func (d *Directory) Peers(now time.Time) []host.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := make([]host.Host, 0, len(d.listed))
	for _, h := range d.listed {
		peers = append(peers, h)
	}
	for id, m := range d.mentioned {
		if now.Sub(m.at) >= mentionTTL {
			delete(d.mentioned, id)
			continue
		}
		if _, ok := d.listed[id]; !ok {
			peers = append(peers, m.Host)
		}
	}
	slices.SortFunc(peers, func(a, b host.Host) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

func (d *Directory) isPeer(h host.Host) bool {
	return h.ID != "" && h.ID != d.selfID && h.PeerAddress != ""
}
