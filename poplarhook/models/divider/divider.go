package divider

import (
	"math"
	"math/rand/v2"
	"sync"

	"poplarhook.example/lib/class"
)

// Divider gives each request of a class one of its services, safe for concurrent use.
//
// Draws of one class follow a sequence of low discrepancy from a random start,
// so that the shares of few requests are near the weights too.
type Divider struct {
	mu     sync.Mutex
	random func() float64
	points map[string]float64
}

// New returns a Divider.
func New() *Divider {
	return &Divider{random: rand.Float64, points: make(map[string]float64)}
}

// golden is the fractional part of the golden ratio, by which the points of a sequence spread most evenly.
var golden = math.Phi - 1

// Divide returns the class with the one service that the next request goes to.
func (d *Divider) Divide(c class.Class) class.Class {
	total := 0
	for _, p := range c.Parts {
		total += max(p.Weight, 0)
	}
	if total == 0 {
		return c
	}
	point := d.next(c.Name) * float64(total)
	for _, p := range c.Parts {
		point -= float64(max(p.Weight, 0))
		if point < 0 {
			return c.WithService(p.Service)
		}
	}
	return c.WithService(c.Parts[len(c.Parts)-1].Service)
}

// next returns the next point in [0, 1) of the class's sequence.
func (d *Divider) next(name string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	point, known := d.points[name]
	if !known {
		point = d.random()
	}
	_, point = math.Modf(point + golden)
	d.points[name] = point
	return point
}
