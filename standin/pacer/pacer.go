package pacer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// spellRetention is how long past slow spells are kept, for requests whose start time is in the past.
const spellRetention = 10 * time.Second

// Pacer draws exponentially distributed service times and computes when requests finish; Pacers with equal seeds give
// equal results.
type Pacer struct {
	meanServiceTime   time.Duration
	spellFactor       float64
	spellLength       time.Duration
	spellInterval     time.Duration
	mu                sync.Mutex
	serviceTimeRandom *rand.Rand
	spellRandom       *rand.Rand
	spells            []spell
	nextSpellStart    time.Time
}

// spell is a period during which requests take longer.
type spell struct {
	start time.Time
	end   time.Time
}

// Option changes a setting of a Pacer.
type Option func(*Pacer)

// WithSpells multiplies service times by factor during slow spells. A spell lasts 0.5 to 1.5 times length, and one
// spell starts per interval on average.
func WithSpells(factor float64, length, interval time.Duration) Option {
	return func(p *Pacer) { p.spellFactor, p.spellLength, p.spellInterval = factor, length, interval }
}

// New returns a pacer with the given mean service time; its first slow spell starts after the time from.
func New(seed uint64, mean time.Duration, from time.Time, options ...Option) *Pacer {
	p := &Pacer{
		meanServiceTime:   mean,
		serviceTimeRandom: rand.New(rand.NewPCG(seed, 1)),
		spellRandom:       rand.New(rand.NewPCG(seed, 2)),
	}
	for _, option := range options {
		option(p)
	}
	// The first spell starts at a random time, so that endpoints which start together do not slow down together.
	p.nextSpellStart = from.Add(time.Duration(p.spellRandom.Float64() * float64(p.spellInterval)))
	return p
}

// Draw returns the service time of the next request outside slow spells.
func (p *Pacer) Draw() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.serviceTimeRandom.ExpFloat64() * float64(p.meanServiceTime))
}

// Finish returns when a request that starts at the given time finishes; work is its service time outside slow spells.
func (p *Pacer) Finish(start time.Time, work time.Duration) time.Time {
	if p.spellFactor <= 1 || p.spellLength <= 0 || p.spellInterval <= 0 {
		return start.Add(work)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generateSpells(start.Add(time.Duration(float64(work) * p.spellFactor)))
	p.dropSpells(start.Add(-spellRetention))
	at := start
	for _, s := range p.spells {
		if !s.end.After(at) {
			continue
		}
		if s.start.After(at) {
			untilSpell := s.start.Sub(at)
			if work <= untilSpell {
				return at.Add(work)
			}
			work -= untilSpell
			at = s.start
		}
		stretched := time.Duration(float64(work) * p.spellFactor)
		spellLeft := s.end.Sub(at)
		if stretched <= spellLeft {
			return at.Add(stretched)
		}
		work -= time.Duration(float64(spellLeft) / p.spellFactor)
		at = s.end
	}
	return at.Add(work)
}

// generateSpells adds the spells that start no later than the given time.
func (p *Pacer) generateSpells(until time.Time) {
	for !p.nextSpellStart.After(until) {
		s := spell{start: p.nextSpellStart, end: p.nextSpellStart.Add(p.drawAround(p.spellLength))}
		p.spells = append(p.spells, s)
		p.nextSpellStart = p.nextSpellStart.Add(p.drawAround(p.spellInterval))
		if p.nextSpellStart.Before(s.end) {
			p.nextSpellStart = s.end
		}
	}
}

// dropSpells removes the spells that ended before the given time.
func (p *Pacer) dropSpells(before time.Time) {
	for len(p.spells) > 0 && p.spells[0].end.Before(before) {
		p.spells = p.spells[1:]
	}
}

// drawAround draws a uniformly distributed duration from 0.5 to 1.5 times the mean.
func (p *Pacer) drawAround(mean time.Duration) time.Duration {
	return time.Duration((0.5 + p.spellRandom.Float64()) * float64(mean))
}
