package borrower_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func (w *world) drawNode() *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node")]
}

func (w *world) drawAsk() {
	wait := time.Duration(rapid.IntRange(1, 300).Draw(w.t, "wait")) * time.Millisecond
	excluded := rapid.SampledFrom([]string{"", "", "warm", "turning"}).Draw(w.t, "excluded")
	w.ask(w.drawNode(), wait, rapid.IntRange(0, 2).Draw(w.t, "urgency"), excluded)
}

func (w *world) drawRepeat() {
	if len(w.frames) == 0 {
		return
	}
	f := w.frames[rapid.IntRange(0, len(w.frames)-1).Draw(w.t, "frame")]
	if f.repeats {
		w.send(f.node, true, f.deliver)
	}
}

func (w *world) drawTurn() {
	switch rapid.IntRange(0, 2).Draw(w.t, "turn") {
	case 0:
		w.setCapacity("turning", warmLimit, false, true)
	case 1:
		w.setCapacity("turning", 1, true, true)
	case 2:
		w.setCapacity("turning", warmLimit, false, false)
	}
}

// settleDown lets everything end and checks that no credit is lost and no request forgotten.
func (w *world) settleDown() {
	for _, n := range w.nodes {
		n.borrower.SetHold(50 * time.Millisecond)
	}
	w.advance(time.Second)
	if len(w.open) > 0 {
		w.t.Fatalf("requests never ended: %v", w.open)
	}
	if w.lender.Waiting() > 0 {
		w.t.Fatalf("%d rights wait for nobody", w.lender.Waiting())
	}
	for _, row := range w.lender.Snapshot() {
		if row.Count != 0 || row.Orphaned != 0 {
			w.t.Fatalf("lost credits: %+v", row)
		}
	}
	for _, n := range w.nodes {
		if n.borrower.Idle() != 0 || len(n.borrower.InFlight()) != 0 {
			w.t.Fatalf("%s keeps %d credits", n.name, n.borrower.Idle())
		}
	}
}

func TestLimitsHoldOverAnyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":  func(*rapid.T) { w.drawAsk() },
			"ask2": func(*rapid.T) { w.drawAsk() },
			"ask3": func(*rapid.T) { w.drawAsk() },
			"pass": func(*rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 10).Draw(w.t, "ms")) * time.Millisecond)
			},
			"repeat": func(*rapid.T) { w.drawRepeat() },
			"turn":   func(*rapid.T) { w.drawTurn() },
			"cancel": func(*rapid.T) { w.cancel(w.drawNode(), rapid.Uint64Range(0, w.ids).Draw(w.t, "id")) },
			"kill":   func(*rapid.T) { w.kill(w.drawNode()) },
			"owner":  func(*rapid.T) { w.replaceOwner() },
			"cut":    func(*rapid.T) { w.cut(w.drawNode()) },
			"hold": func(*rapid.T) {
				hold := rapid.IntRange(0, 100).Draw(w.t, "hold")
				w.drawNode().borrower.SetHold(time.Duration(hold) * time.Millisecond)
			},
			"allow": func(*rapid.T) { w.lender.AllowCold(w.now.Add(time.Second)) },
		})
		w.settleDown()
	})
}
