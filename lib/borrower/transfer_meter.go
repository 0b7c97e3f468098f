package borrower

import "time"

// transferWindow is how long the shortest transfer time is kept at least; after twice that time it is forgotten.
const transferWindow = 5 * time.Second

// transferMeter measures how long a credit takes to arrive after its demand was sent. It takes the minimum, since the
// others include the wait at the owner until a credit is free.
type transferMeter struct {
	windowStart time.Time
	// shortest is the minimum in the current window, and previous that of the window before it; zero means none.
	shortest time.Duration
	previous time.Duration
}

// record adds the time between a demand and its credit.
func (m *transferMeter) record(now time.Time, d time.Duration) {
	if now.Sub(m.windowStart) >= transferWindow {
		m.previous, m.shortest = m.shortest, 0
		m.windowStart = now
	}
	if m.shortest == 0 || d < m.shortest {
		m.shortest = d
	}
}

// transferTime returns the shortest time measured lately, or zero if there is none.
func (m *transferMeter) transferTime() time.Duration {
	if m.shortest == 0 || (m.previous > 0 && m.previous < m.shortest) {
		return m.previous
	}
	return m.shortest
}
