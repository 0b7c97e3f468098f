package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	quotaRate   = 100.0
	quotaBurst  = 50.0
	quotaWindow = 5 * time.Second
	overage     = 0.1
	slack       = 20.0
)

func sheetBounds() map[string]any {
	return map[string]any{
		"configuration_ms": 3000, "leaving_ms": 3000, "zone_out_ms": 5000, "stop_s": 6, "quota_window_s": 5, "quota_overage": overage, "quota_slack": slack,
		"retry_share": 0.2, "retry_slack": 158, "retry_window_s": 10, "cold_slack": 8, "probes_per_second": 60,
		"strict_revoke": true, "revoke_ms": 5000,
	}
}

func sheetConfig(version int, tenants [][]any) map[string]any {
	return map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts", "allowed_regions", "traffic_split"},
			"rows": [][]any{
				{"order-lookup", "orders.example", "/lookup/", "safe", 1000, 250, 1, "orders", 2, []string{}, nil},
				{"order-place", "orders.example", "/place/", "unsafe", 1200, 400, 0, "orders", 2, []string{}, nil},
			},
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "warmup_s", "cold_per_s"},
			"rows":    [][]any{{"orders", "/health", 820, "h1", false, 3.0, 4.1}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": map[string]any{"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"}, "rows": tenants},
	}
}

var sheetRegions = map[string]string{"dar-a": "dar", "dar-b": "dar", "arusha-a": "arusha", "arusha-b": "arusha", "mwanza-a": "mwanza", "mwanza-b": "mwanza"}
var sheetZones = []string{"dar-a", "arusha-a", "mwanza-a", "dar-b", "arusha-b", "mwanza-b"}

type ran struct{ sent, at time.Time }

// playQuota adds machines while the store turns them away, and lets one tenant ask for more than its limit.
func playQuota(dir string, r *Record, trouble bool) int {
	store := NewStore(r)
	door := store.NewDoor()
	store.Put("config", "main", sheetConfig(7, [][]any{{"shop", []string{"key-shop"}, 1, quotaRate, quotaBurst}}))
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var runs []ran
	byHost := map[string]int{}
	for i := range 12 {
		s := &Server{ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: "orders", Zone: sheetZones[i%6], Slots: 8, Work: 20 * time.Millisecond}
		s.Start(store, func(q *http.Request) {
			now := time.Now()
			mu.Lock()
			runs = append(runs, ran{sent[q.Header.Get("Request-Id")], now})
			mu.Unlock()
			r.Line("run %s at %s, tenant %s", q.Header.Get("Request-Id"), s.ID, q.Header.Get("Tenant"))
		})
	}
	f := &Fleet{dir: dir, store: store, bounds: sheetBounds(), memoryMB: 184, regions: sheetRegions, record: r}
	defer f.StopAll()
	for i := range oldHosts {
		g := f.Add(fmt.Sprintf("front-%s-%d", sheetZones[i%6], i/6+1), sheetZones[i%6])
		g.processor, g.link = 0.16, 10
		f.Start(g)
	}
	if !AwaitReady(15*time.Second, f.gateways...) {
		r.Line("the gateways did not become ready")
		return unready
	}
	r.Line("%d machines are ready; in the store: %v", oldHosts, store.Names("entry_hosts"))
	time.Sleep(7 * time.Second)
	if trouble {
		r.Line("the store turns the %d machines that are added now away, with 429, and serves the others", addedHosts)
		door.Refuse(true)
	}
	refusedAt := time.Now()
	for i := range addedHosts {
		g := f.Add(fmt.Sprintf("front-%s-%d", sheetZones[i%6], 8+i), sheetZones[i%6])
		g.processor, g.link, g.storeAddress = 0.8, 200, door.Address
		f.Start(g)
	}
	if !AwaitReady(2*time.Second, f.gateways...) {
		r.Line("the added machines did not become ready in 2 s")
	}
	time.Sleep(time.Until(refusedAt.Add(2 * time.Second)))
	var ready []*Gateway
	for _, g := range f.gateways {
		if g.IsReady() {
			ready = append(ready, g)
		}
	}
	r.Line("%d machines are ready; in the store: %v", len(ready), store.Names("entry_hosts"))
	client := NewClient()
	var wait sync.WaitGroup
	statuses := map[int]int{}
	begin := time.Now()
	for i := range hotSeconds * demandPerSecond {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / demandPerSecond)))
		g := ready[i%len(ready)]
		wait.Go(func() {
			q := Request{Method: http.MethodGet, Host: "orders.example", Path: "/lookup/2f", Key: "key-shop", Budget: 1500 * time.Millisecond}
			a := client.SendNoting(g.Front, q, func(id string, at time.Time) {
				mu.Lock()
				sent[id] = at
				mu.Unlock()
			})
			r.Line("sent %s to %s at %.3f: status %d %s", a.ID, g.Name, a.SentAt.Sub(r.start).Seconds(), a.Status, a.Problem)
			mu.Lock()
			statuses[a.Status]++
			if a.Status == 200 {
				byHost[g.Name]++
			}
			mu.Unlock()
		})
	}
	wait.Wait()
	r.Line("in the store: %v", store.Names("entry_hosts"))
	r.Line("the store turned machines away for %.1f s", time.Since(refusedAt).Seconds())
	mu.Lock()
	defer mu.Unlock()
	r.Line("answers by status: %v; served by machine: %v", statuses, byHost)
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+overage) + slack
	most, from := densest(runs, quotaWindow)
	r.Line("allowed in %.0f s: %.0f; most that were both sent and ran in one window: %d, from %.3f on", quotaWindow.Seconds(), allowed, most, from.Sub(r.start).Seconds())
	fmt.Printf("allowed %.0f, most %d at %.3f, statuses %v %v\n", allowed, most, from.Sub(r.start).Seconds(), statuses, byHost)
	if len(ready) < oldHosts || statuses[200] < 200 {
		return unready
	}
	if float64(most) > allowed {
		return broken
	}
	return held
}

const (
	// The tenant usually asks for five eighths of its rate; while it is hot it asks for 4.8 times as much.
	demandPerSecond = 300
	hotSeconds      = 6
	oldHosts        = 8
	addedHosts      = 4
)

// densest returns the largest number of requests that were sent and ran within one window, and where that begins.
func densest(runs []ran, window time.Duration) (most int, from time.Time) {
	starts := make([]time.Time, 0, len(runs))
	for _, x := range runs {
		starts = append(starts, x.sent)
	}
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	byAt := append([]ran(nil), runs...)
	sort.Slice(byAt, func(i, j int) bool { return byAt[i].at.Before(byAt[j].at) })
	for _, begin := range starts {
		end, n := begin.Add(window), 0
		for _, x := range byAt {
			if x.at.After(end) {
				break
			}
			if !x.sent.Before(begin) {
				n++
			}
		}
		if n > most {
			most, from = n, begin
		}
	}
	return most, from
}
