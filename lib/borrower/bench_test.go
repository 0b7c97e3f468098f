package borrower_test

import (
	"fmt"
	"testing"
	"time"

	"poplarhook.example/lib/action"
	"poplarhook.example/lib/borrower"
	"poplarhook.example/lib/credit"
)

// BenchmarkRequest measures one request on a host that uses all endpoints, with a new grant for each request or on a
// kept credit.
func BenchmarkRequest(b *testing.B) {
	for _, endpoints := range []int{4, 40, 400} {
		for name, holdTime := range map[string]time.Duration{"granted": 0, "kept": time.Hour} {
			b.Run(fmt.Sprintf("endpoints=%d/%s", endpoints, name), func(b *testing.B) {
				benchmarkRequest(b, endpoints, holdTime)
			})
		}
	}
}

func benchmarkRequest(b *testing.B, endpoints int, holdTime time.Duration) {
	host := borrower.New("b1", borrower.WithHoldTime(holdTime), borrower.WithMaxLocalWait(0))
	now := time.Unix(1000, 0)
	until := now.Add(time.Hour)
	id := uint64(0)
	submit := func(endpoint string) string {
		id++
		now = now.Add(10 * time.Microsecond)
		a := host.Submit(now, id, until, 1, "")
		for _, d := range a.Demands {
			a = host.Accept(now, credit.Credit{Endpoint: endpoint, Count: 1, Sequence: d.Sequence})
		}
		return boundEndpointOf(b, a)
	}
	names := make([]string, endpoints)
	for i := range names {
		names[i] = submit(fmt.Sprintf("e%03d", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		name := names[i%endpoints]
		host.Finish(now, name, false)
		names[i%endpoints] = submit(name)
	}
}

func boundEndpointOf(b *testing.B, a action.Action) string {
	if len(a.Bound) != 1 {
		b.Fatalf("bound %v", a.Bound)
	}
	return a.Bound[0].Endpoint
}

// BenchmarkTick measures one call of Tick with an idle credit for each endpoint.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{4, 40, 400} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			host := borrower.New("b1", borrower.WithHoldTime(time.Hour))
			now := time.Unix(1000, 0)
			for i := range endpoints {
				host.Submit(now, uint64(i), now.Add(time.Hour), 1, "")
				host.Cancel(now, uint64(i))
				host.Accept(now, credit.Credit{Endpoint: fmt.Sprintf("e%03d", i), Count: 1, Sequence: uint64(i + 1)})
			}
			for b.Loop() {
				now = now.Add(time.Microsecond)
				host.Tick(now)
			}
		})
	}
}

// BenchmarkOverload measures one new request and one that expires, with many requests waiting and no credits.
func BenchmarkOverload(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			host := borrower.New("b1")
			now := time.Unix(1000, 0)
			for id := uint64(0); b.Loop(); id++ {
				now = now.Add(100 * time.Microsecond)
				host.Submit(now, id, now.Add(time.Duration(waiting)*100*time.Microsecond), 1, "")
				host.Tick(now)
			}
		})
	}
}
