package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const revokeBound = 5 * time.Second

// playRevoke takes a key away, lets the store come back from a copy that still has it, and adds a machine then.
func playRevoke(dir string, r *Record, trouble bool) int {
	store := NewStore(r)
	both := [][]any{{"shop", []string{"key-shop"}, 1, 0, 0}, {"florist", []string{"key-florist"}, 1, 0, 0}}
	store.Put("config", "main", sheetConfig(11, both))
	var mu sync.Mutex
	runs := map[string]time.Time{}
	for i := range 6 {
		s := &Server{ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: "orders", Zone: sheetZones[i%6], Slots: 4, Work: 20 * time.Millisecond}
		s.Start(store, func(q *http.Request) {
			mu.Lock()
			runs[q.Header.Get("Request-Id")] = time.Now()
			mu.Unlock()
			r.Line("run %s at %s, tenant %s", q.Header.Get("Request-Id"), s.ID, q.Header.Get("Tenant"))
		})
	}
	f := &Fleet{dir: dir, store: store, bounds: sheetBounds(), memoryMB: 184, regions: sheetRegions, record: r}
	defer f.StopAll()
	for i := range 6 {
		g := f.Add(fmt.Sprintf("front-%s-%d", sheetZones[i%6], i/6+1), sheetZones[i%6])
		g.processor, g.link = 0.16, 10
		f.Start(g)
	}
	if !AwaitReady(15*time.Second, f.gateways...) {
		r.Line("the gateways did not become ready")
		return unready
	}
	time.Sleep(4 * time.Second)
	older := store.TakeCopy()
	time.Sleep(time.Second)
	without := sheetConfig(12, both[:1])
	store.Put("config", "main", without)
	confirmedAt := time.Now()
	r.Line("the store has confirmed r12, without the key of florist")

	client := NewClient()
	sentAt := map[string]time.Time{}
	var late, served, refused int
	try := func(g *Gateway, key string) int {
		q := Request{Method: http.MethodGet, Host: "orders.example", Path: "/lookup/2f", Key: key, Budget: time.Second}
		a := client.SendNoting(g.Front, q, func(string, time.Time) {})
		mu.Lock()
		defer mu.Unlock()
		sentAt[a.ID] = a.SentAt
		_, ran := runs[a.ID]
		r.Line("sent %s with %s to %s, %.3f s after the confirmation: status %d %s, ran %t", a.ID, key, g.Name, a.SentAt.Sub(confirmedAt).Seconds(), a.Status, a.Problem, ran)
		switch {
		case key == "key-shop" && a.Status == http.StatusOK:
			served++
		case key == "key-florist" && ran && a.SentAt.Sub(confirmedAt) > revokeBound:
			late++
		case key == "key-florist" && !ran:
			refused++
		}
		return a.Status
	}
	time.Sleep(time.Until(confirmedAt.Add(4 * time.Second)))
	for _, g := range f.gateways {
		try(g, "key-florist")
	}
	time.Sleep(time.Until(confirmedAt.Add(6 * time.Second)))
	backAt := confirmedAt.Add(7 * time.Second)
	if trouble {
		r.Line("the store is away")
		store.SetAway(true)
		time.Sleep(time.Until(backAt))
		store.Restore(older)
		store.SetAway(false)
		r.Line("the store is back from a copy that is %.1f s old", time.Since(older.at).Seconds())
		time.AfterFunc(2*time.Second, func() {
			store.Put("config", "main", without)
			r.Line("the operator has written r12 again")
		})
	}
	time.Sleep(time.Until(backAt.Add(100 * time.Millisecond)))
	added := f.Add("front-dar-a-8", "dar-a")
	added.processor, added.link = 0.8, 200
	f.Start(added)
	for time.Since(backAt) < 6*time.Second {
		for _, g := range f.gateways {
			if g != added || g.IsReady() {
				try(g, "key-florist")
				try(g, "key-shop")
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Line("requests with the key that was taken away, sent later than %.0f s after the confirmation: %d ran, %d did not; %d with the other key were served", revokeBound.Seconds(), late, refused, served)
	fmt.Printf("late %d, refused %d, served %d\n", late, refused, served)
	if served < 50 {
		return unready
	}
	if late > 0 {
		return broken
	}
	return held
}
