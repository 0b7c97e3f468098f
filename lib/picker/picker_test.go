package picker_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/lib/capacity"
	"poplarhook.example/lib/picker"
)

func newCapacities(n int) []capacity.Capacity {
	var cs []capacity.Capacity
	for i := range n {
		cs = append(cs, capacity.Capacity{Endpoint: fmt.Sprint("e", i), Limit: 3, Open: true})
	}
	return cs
}

func TestPickSkipsIneligibleEndpoints(t *testing.T) {
	c := qt.New(t)
	p := picker.New(picker.PolicyLocalShare, 1)
	cs := []capacity.Capacity{
		{Endpoint: "cold", Limit: 1, Cold: true, Open: true},
		{Endpoint: "closed", Limit: 3},
		{Endpoint: "excluded", Limit: 3, Open: true},
		{Endpoint: "none", Limit: 0, Open: true},
	}
	_, ok := p.Pick(cs, 5, "excluded")
	c.Assert(ok, qt.IsFalse)
	endpoint, ok := p.Pick(cs, 5, "")
	c.Assert(ok, qt.IsTrue)
	c.Assert(endpoint, qt.Equals, "excluded")
	endpoint, ok = picker.New(picker.PolicyRandom, 1).Pick(cs[:1], 5, "")
	c.Assert(ok, qt.IsTrue)
	c.Assert(endpoint, qt.Equals, "cold")
}

func TestLocalShareIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		cs := newCapacities(rapid.IntRange(1, 5).Draw(t, "endpoints"))
		p := picker.New(picker.PolicyLocalShare, 1)
		share := (3 + hosts - 1) / hosts
		picked := 0
		for {
			endpoint, ok := p.Pick(cs, hosts, "")
			if !ok {
				break
			}
			p.Start(endpoint)
			picked++
			if p.InFlight(endpoint) > share {
				t.Fatalf("%d in flight, the share is %d", p.InFlight(endpoint), share)
			}
		}
		if picked != share*len(cs) {
			t.Fatalf("picked %d of %d", picked, share*len(cs))
		}
	})
}

// busiestLoad returns the load of the busiest of ten endpoints after a thousand picks.
func busiestLoad(policy string) int {
	p := picker.New(policy, 7)
	highest := 0
	for range 1000 {
		endpoint, _ := p.Pick(newCapacities(10), 1, "")
		p.Start(endpoint)
		highest = max(highest, p.InFlight(endpoint))
	}
	return highest
}

func TestPoliciesDistributeLoad(t *testing.T) {
	c := qt.New(t)
	c.Assert(busiestLoad(picker.PolicyTwoChoices) <= 102, qt.IsTrue)
	c.Assert(busiestLoad(picker.PolicyRandom) > 105, qt.IsTrue)
	c.Assert(busiestLoad(picker.PolicyRandom), qt.Equals, busiestLoad(picker.PolicyRandom))

	p := picker.New(picker.PolicyTwoChoices, 1)
	p.Start("e0")
	p.Finish("e0")
	p.Finish("e0")
	c.Assert(p.InFlight("e0"), qt.Equals, 0)
}
