package borrower_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func (w *simulation) drawHost() *host {
	return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "host")]
}

func (w *simulation) drawSubmit() {
	wait := time.Duration(rapid.IntRange(1, 300).Draw(w.t, "wait")) * time.Millisecond
	excluded := rapid.SampledFrom([]string{"", "", "warm", "turning"}).Draw(w.t, "excluded")
	w.submit(w.drawHost(), wait, rapid.IntRange(0, 2).Draw(w.t, "urgency"), excluded)
}

func (w *simulation) drawRepeat() {
	if len(w.messages) == 0 {
		return
	}
	m := w.messages[rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")]
	if m.isRepeatable {
		w.send(m.host, true, m.deliver)
	}
}

func (w *simulation) drawCapacityChange() {
	switch rapid.IntRange(0, 2).Draw(w.t, "turn") {
	case 0:
		w.setCapacity("turning", warmLimit, false, true)
	case 1:
		w.setCapacity("turning", 1, true, true)
	case 2:
		w.setCapacity("turning", warmLimit, false, false)
	}
}

// drain lets all requests end, and checks that each has an outcome and that no credit is lost.
func (w *simulation) drain() {
	for _, h := range w.hosts {
		h.borrower.SetHoldTime(50 * time.Millisecond)
	}
	w.advance(time.Second)
	if len(w.openRequests) > 0 {
		w.t.Fatalf("requests have no outcome: %v", w.openRequests)
	}
	if w.lender.Waiting() > 0 {
		w.t.Fatalf("%d rights still wait at the lender after all requests have ended", w.lender.Waiting())
	}
	for _, row := range w.lender.Snapshot() {
		if row.Count != 0 || row.Orphaned != 0 {
			w.t.Fatalf("credits were not returned: %+v", row)
		}
	}
	for _, h := range w.hosts {
		if h.borrower.Idle() != 0 || len(h.borrower.InFlight()) != 0 {
			w.t.Fatalf("%s still has requests in flight or idle credits (%d idle)", h.name, h.borrower.Idle())
		}
	}
}

func TestLimitsHoldWithDelayedAndRepeatedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":  func(*rapid.T) { w.drawSubmit() },
			"ask2": func(*rapid.T) { w.drawSubmit() },
			"ask3": func(*rapid.T) { w.drawSubmit() },
			"pass": func(*rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 10).Draw(w.t, "ms")) * time.Millisecond)
			},
			"repeat": func(*rapid.T) { w.drawRepeat() },
			"turn":   func(*rapid.T) { w.drawCapacityChange() },
			"cancel": func(*rapid.T) { w.cancel(w.drawHost(), rapid.Uint64Range(0, w.lastID).Draw(w.t, "id")) },
			"kill":   func(*rapid.T) { w.replaceHost(w.drawHost()) },
			"owner":  func(*rapid.T) { w.replaceOwner() },
			"cut":    func(*rapid.T) { w.reconnect(w.drawHost()) },
			"hold": func(*rapid.T) {
				holdTime := rapid.IntRange(0, 100).Draw(w.t, "hold")
				w.drawHost().borrower.SetHoldTime(time.Duration(holdTime) * time.Millisecond)
			},
			"allow": func(*rapid.T) { w.lender.AllowCold(w.now.Add(time.Second)) },
		})
		w.drain()
	})
}
