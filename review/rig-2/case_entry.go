package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// kiteConfig is a configuration whose lookups go to the given service.
func kiteConfig(version int, lookups string) map[string]any {
	c := sheetConfig(version, nil)
	delete(c, "tenants")
	c["routes"].(map[string]any)["rows"] = [][]any{
		{"stock-lookup", "kite.example", "/lookup/", "safe", 1200, 600, 2, lookups, 2, []string{}, nil},
		{"alloc-order", "kite.example", "/order/", "unsafe", 1000, 400, 0, lookups, 2, []string{}, nil},
	}
	c["services"].(map[string]any)["rows"] = [][]any{
		{"laoseis", "/health", 260, "h1", false, 3.0, 4.1}, {"jaotus", "/health", 260, "h1", false, 3.0, 4.1},
	}
	return c
}

var (
	kiteRegions = map[string]string{"pohja-a": "pohja", "pohja-b": "pohja", "louna-a": "louna", "louna-b": "louna", "laane-a": "laane", "laane-b": "laane"}
	kiteZones   = []string{"pohja-a", "louna-a", "laane-a", "pohja-b", "louna-b", "laane-b"}
)

// kiteBounds are the bounds of the sheet of the kite paper office.
func kiteBounds() map[string]any {
	return map[string]any{
		"configuration_ms": 2000, "leaving_ms": 2000, "zone_out_ms": 5000, "stop_s": 6,
		"retry_share": 0.2, "retry_slack": 62, "retry_window_s": 10, "cold_slack": 5, "probes_per_second": 60,
	}
}

// playEntry adds one entry of another writer that cannot be read, and then kills all processes at once.
func playEntry(dir string, r *Record, trouble bool) int {
	store := NewStore(r)
	store.Put("config", "main", kiteConfig(11, "laoseis"))
	var mu sync.Mutex
	runs := 0
	for i := range 6 {
		s := &Server{ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: "laoseis", Zone: kiteZones[i%6], Slots: 4, Work: 20 * time.Millisecond}
		s.Start(store, func(q *http.Request) {
			mu.Lock()
			runs++
			mu.Unlock()
			r.Line("run %s at %s", q.Header.Get("Request-Id"), s.ID)
		})
	}
	f := &Fleet{dir: dir, store: store, bounds: kiteBounds(), memoryMB: 284, regions: kiteRegions, record: r}
	defer f.StopAll()
	for i := range 6 {
		f.Start(f.Add(fmt.Sprintf("front-%s-%d", kiteZones[i%6], i/6+1), kiteZones[i%6]))
	}
	if !AwaitReady(15*time.Second, f.gateways...) {
		r.Line("the gateways did not become ready")
		return unready
	}
	if trouble {
		const depth = 9999
		store.PutRaw("servers", "i-02d9e6b4", append(bytes.Repeat([]byte("["), depth), bytes.Repeat([]byte("]"), depth)...))
		r.Line("another writer has written an entry of %d bytes that cannot be read", 2*depth)
	}
	client := NewClient()
	serve := func(period time.Duration) (served, sent int) {
		for begin := time.Now(); time.Since(begin) < period; time.Sleep(20 * time.Millisecond) {
			g := f.gateways[sent%len(f.gateways)]
			a := client.Send(g.Front, Request{Method: http.MethodGet, Host: "kite.example", Path: "/lookup/2f", Budget: time.Second})
			r.Line("sent %s to %s: status %d %s", a.ID, g.Name, a.Status, a.Problem)
			sent++
			if a.Status == http.StatusOK && a.Signed {
				served++
			}
		}
		return served, sent
	}
	servedBefore, sentBefore := serve(6 * time.Second)
	r.Line("before the final fault %d of %d were served", servedBefore, sentBefore)
	for _, g := range f.gateways {
		_ = g.process.Process.Kill()
	}
	for _, g := range f.gateways {
		<-g.ended
	}
	r.Line("all processes were killed")
	time.Sleep(1500 * time.Millisecond)
	for _, g := range f.gateways {
		g.run()
	}
	backAt := time.Now()
	r.Line("all processes were started again")
	serve(15 * time.Second)
	servedAfter, sentAfter := serve(10 * time.Second)
	r.Line("of the requests sent later than 15 s after the machines were back, %d of %d were served (%.1f s after it)", servedAfter, sentAfter, time.Since(backAt).Seconds())
	fmt.Printf("before %d/%d after %d/%d\n", servedBefore, sentBefore, servedAfter, sentAfter)
	if 4*servedBefore < sentBefore {
		return unready
	}
	if 4*servedAfter < sentAfter {
		return broken
	}
	return held
}
