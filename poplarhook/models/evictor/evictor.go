package evictor

import "time"

// stallTime is how long a body may make no progress before it counts as stalled. A client on a slow link of 10 Mbit/s
// sends some bytes every few milliseconds.
const stallTime = 500 * time.Millisecond

// Verdict is the answer to a reservation.
type Verdict int

const (
	// Granted means that the bytes are reserved.
	Granted Verdict = iota
	// Pending means that bodies have been aborted whose memory is not released yet. The reservation must be repeated
	// after the next release.
	Pending
	// Refused means that the body itself must be aborted.
	Refused
	// Aborted means that the body was aborted before.
	Aborted
)

// account is the memory of one body.
type account struct {
	bytes      int64
	progressAt time.Time
	// bound is true if the body is complete and may have been offered to an endpoint.
	bound   bool
	aborted bool
}

// Evictor accounts for the memory of bodies. It is not safe for concurrent use.
type Evictor struct {
	limit    int64
	used     int64
	accounts map[uint64]*account
	lastID   uint64
}

// New returns an Evictor that grants the given number of bytes in all.
func New(limit int64) *Evictor {
	return &Evictor{limit: limit, accounts: make(map[uint64]*account)}
}

// Used returns how many bytes are reserved.
func (e *Evictor) Used() int64 {
	return e.used
}

// Open starts the account of a body and returns its id.
func (e *Evictor) Open(now time.Time) uint64 {
	e.lastID++
	e.accounts[e.lastID] = &account{progressAt: now}
	return e.lastID
}

// Progress records that bytes of the body have arrived.
func (e *Evictor) Progress(id uint64, now time.Time) {
	if a := e.accounts[id]; a != nil {
		a.progressAt = now
	}
}

// Reserve reserves memory for a body that is still arriving, and returns the ids of the bodies that must be aborted.
//
// If memory is short, the bodies that made no progress for the longest time are
// aborted first, then the largest one that is not bound. If that is the body
// itself, it is refused.
func (e *Evictor) Reserve(id uint64, bytes int64, now time.Time) (Verdict, []uint64) {
	own := e.accounts[id]
	if own == nil || own.aborted {
		return Aborted, nil
	}
	if own.bytes+bytes > e.limit {
		own.aborted = true
		return Refused, nil
	}
	own.progressAt = now
	needed := e.used + bytes - e.limit
	if needed <= 0 {
		own.bytes += bytes
		e.used += bytes
		return Granted, nil
	}
	var victims []uint64
	freeing := e.freeing()
	for freeing < needed {
		victim := e.chooseVictim(id, now)
		if victim == id {
			own.aborted = true
			return Refused, victims
		}
		e.accounts[victim].aborted = true
		freeing += e.accounts[victim].bytes
		victims = append(victims, victim)
	}
	return Pending, victims
}

// Abort aborts a body that gives up waiting for memory.
func (e *Evictor) Abort(id uint64) {
	if a := e.accounts[id]; a != nil {
		a.aborted = true
	}
}

// Bind keeps a complete body until it is closed. It returns false if the body has been aborted before.
func (e *Evictor) Bind(id uint64) bool {
	a := e.accounts[id]
	if a == nil || a.aborted {
		return false
	}
	a.bound = true
	return true
}

// Close ends the account and releases its memory.
func (e *Evictor) Close(id uint64) {
	if a := e.accounts[id]; a != nil {
		e.used -= a.bytes
		delete(e.accounts, id)
	}
}

// freeing returns the memory of the bodies that have been aborted and not closed yet.
func (e *Evictor) freeing() int64 {
	var sum int64
	for _, a := range e.accounts {
		if a.aborted {
			sum += a.bytes
		}
	}
	return sum
}

// chooseVictim returns the id of the body to abort for a reservation of the given one, which may be that one itself.
func (e *Evictor) chooseVictim(own uint64, now time.Time) uint64 {
	var stalled, largest uint64
	largestBytes := e.accounts[own].bytes
	for id, a := range e.accounts {
		if id == own || a.bound || a.aborted || a.bytes == 0 {
			continue
		}
		if now.Sub(a.progressAt) >= stallTime && (stalled == 0 || a.progressAt.Before(e.accounts[stalled].progressAt)) {
			stalled = id
		}
		if a.bytes > largestBytes {
			largest, largestBytes = id, a.bytes
		}
	}
	switch {
	case stalled != 0:
		return stalled
	case largest != 0:
		return largest
	default:
		return own
	}
}
