package divider

import (
	"math"
	"math/rand/v2"
	"sync"

	"poplarhook.example/lib/class"
)

// Divider chooses one of the class's services for each request. It is safe for concurrent use.
//
// The choices for one class follow a low-discrepancy sequence with a random
// start, so that even a few requests are distributed close to the weights.
type Divider struct {
	mu     sync.Mutex
	random func() float64
	points map[string]float64
}

// New returns a Divider whose sequences start at random points.
func New() *Divider {
	return &Divider{random: rand.Float64, points: make(map[string]float64)}
}

// goldenFraction is the fractional part of the golden ratio. A sequence with this step covers [0, 1) most evenly.
var goldenFraction = math.Phi - 1

// Divide returns a copy of the class with the service chosen for the next request, or the class itself if it has no
// weights.
func (d *Divider) Divide(c class.Class) class.Class {
	total := 0
	for _, p := range c.Parts {
		total += max(p.Weight, 0)
	}
	if total == 0 {
		return c
	}
	point := d.nextPoint(c.Name) * float64(total)
	for _, p := range c.Parts {
		point -= float64(max(p.Weight, 0))
		if point < 0 {
			return c.WithService(p.Service)
		}
	}
	return c.WithService(c.Parts[len(c.Parts)-1].Service)
}

// nextPoint returns the next point, in [0, 1), of the sequence of the named class.
func (d *Divider) nextPoint(name string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	point, known := d.points[name]
	if !known {
		point = d.random()
	}
	_, point = math.Modf(point + goldenFraction)
	d.points[name] = point
	return point
}
