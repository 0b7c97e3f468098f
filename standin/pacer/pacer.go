package pacer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// keptSpells is how long past spells are kept for work that started late.
const keptSpells = 10 * time.Second

// Pacer draws exponential service times and tells when work finishes; equal seeds give equal paces.
type Pacer struct {
	mean           time.Duration
	spellFactor    float64
	spellLength    time.Duration
	spellInterval  time.Duration
	mu             sync.Mutex
	work           *rand.Rand
	spellRandom    *rand.Rand
	spells         []spell
	nextSpellStart time.Time
}

// spell is a time during which work takes longer.
type spell struct {
	start time.Time
	end   time.Time
}

// Option changes a setting of a Pacer.
type Option func(*Pacer)

// WithSpells makes work take factor times as long in spells of half to one and a half times length, every interval on average.
func WithSpells(factor float64, length, interval time.Duration) Option {
	return func(p *Pacer) { p.spellFactor, p.spellLength, p.spellInterval = factor, length, interval }
}

// New returns a pacer of the given mean service time whose first spell comes after the given time.
func New(seed uint64, mean time.Duration, from time.Time, options ...Option) *Pacer {
	p := &Pacer{
		mean:        mean,
		work:        rand.New(rand.NewPCG(seed, 1)),
		spellRandom: rand.New(rand.NewPCG(seed, 2)),
	}
	for _, option := range options {
		option(p)
	}
	// Endpoints started together must not slow down together.
	p.nextSpellStart = from.Add(time.Duration(p.spellRandom.Float64() * float64(p.spellInterval)))
	return p
}

// Draw returns the work of the next request, as its time outside of spells.
func (p *Pacer) Draw() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.work.ExpFloat64() * float64(p.mean))
}

// Finish tells when work that starts at the given time is done.
func (p *Pacer) Finish(start time.Time, work time.Duration) time.Time {
	if p.spellFactor <= 1 || p.spellLength <= 0 || p.spellInterval <= 0 {
		return start.Add(work)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extend(start.Add(time.Duration(float64(work) * p.spellFactor)))
	p.forget(start.Add(-keptSpells))
	at := start
	for _, s := range p.spells {
		if !s.end.After(at) {
			continue
		}
		if s.start.After(at) {
			until := s.start.Sub(at)
			if work <= until {
				return at.Add(work)
			}
			work -= until
			at = s.start
		}
		stretched := time.Duration(float64(work) * p.spellFactor)
		inside := s.end.Sub(at)
		if stretched <= inside {
			return at.Add(stretched)
		}
		work -= time.Duration(float64(inside) / p.spellFactor)
		at = s.end
	}
	return at.Add(work)
}

// extend lays out the spells that start until the given time.
func (p *Pacer) extend(until time.Time) {
	for !p.nextSpellStart.After(until) {
		s := spell{start: p.nextSpellStart, end: p.nextSpellStart.Add(p.around(p.spellLength))}
		p.spells = append(p.spells, s)
		p.nextSpellStart = p.nextSpellStart.Add(p.around(p.spellInterval))
		if p.nextSpellStart.Before(s.end) {
			p.nextSpellStart = s.end
		}
	}
}

func (p *Pacer) forget(before time.Time) {
	for len(p.spells) > 0 && p.spells[0].end.Before(before) {
		p.spells = p.spells[1:]
	}
}

// around draws evenly from half to one and a half times the mean.
func (p *Pacer) around(mean time.Duration) time.Duration {
	return time.Duration((0.5 + p.spellRandom.Float64()) * float64(mean))
}
