package lender_test

import (
	"fmt"
	"testing"
	"time"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/credit"
	"poplarhook.example/lib/demand"
	"poplarhook.example/lib/lender"
)

// fixture is a lender with several borrowers. The field held lists their credits, the oldest first.
type fixture struct {
	lender    *lender.Lender
	now       time.Time
	held      []credit.Credit
	names     []string
	sequences []uint64
	next      int
}

func newFixture(endpoints, borrowers, held int) *fixture {
	f := &fixture{lender: lender.New(), now: time.Unix(1000, 0)}
	capacities := make([]capacity.Capacity, endpoints)
	for i := range capacities {
		capacities[i] = capacity.Capacity{Endpoint: fmt.Sprintf("e%03d", i), Limit: 3, Open: true}
	}
	f.lender.SetCapacities(f.now, capacities)
	for i := range borrowers {
		f.names = append(f.names, fmt.Sprintf("b%02d", i))
	}
	f.sequences = make([]uint64, borrowers)
	for range held {
		f.demandOne()
	}
	return f
}

func (f *fixture) demandOne() {
	f.now = f.now.Add(10 * time.Microsecond)
	i := f.next % len(f.names)
	f.next++
	f.sequences[i]++
	f.held = append(f.held, f.lender.Demand(f.now, demand.Demand{
		Borrower: f.names[i], Sequence: f.sequences[i], Count: 1, Until: f.now.Add(time.Hour), Urgency: f.next % 3,
	})...)
}

func (f *fixture) releaseOldest() {
	c := f.held[0]
	f.held = f.held[1:]
	f.held = append(f.held, f.lender.Release(f.now, c.Borrower, c.Endpoint, 1)...)
}

// BenchmarkGrant measures one demand and one release, with 60 % of the credits lent or with 100 demands waiting.
func BenchmarkGrant(b *testing.B) {
	for _, endpoints := range []int{4, 40, 400} {
		for _, borrowers := range []int{5, 50} {
			for name, held := range map[string]int{"free": endpoints * 9 / 5, "waiting": endpoints*3 + 100} {
				b.Run(fmt.Sprintf("endpoints=%d/borrowers=%d/%s", endpoints, borrowers, name), func(b *testing.B) {
					f := newFixture(endpoints, borrowers, held)
					b.ReportAllocs()
					for b.Loop() {
						f.demandOne()
						f.releaseOldest()
					}
				})
			}
		}
	}
}

// BenchmarkTick measures one call each of Tick and Recalls.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{4, 40, 400} {
		for _, borrowers := range []int{5, 50} {
			b.Run(fmt.Sprintf("endpoints=%d/borrowers=%d", endpoints, borrowers), func(b *testing.B) {
				f := newFixture(endpoints, borrowers, endpoints*3+100)
				for b.Loop() {
					f.now = f.now.Add(time.Millisecond)
					f.lender.Tick(f.now)
					f.lender.Recalls(f.now)
				}
			})
		}
	}
}
