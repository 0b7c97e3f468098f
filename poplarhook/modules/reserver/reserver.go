package reserver

import "sync/atomic"

// Reserver hands out bytes of a fixed amount. It is safe for concurrent use.
type Reserver struct {
	left atomic.Int64
}

// New returns a Reserver of the given number of bytes.
func New(bytes int) *Reserver {
	r := &Reserver{}
	r.left.Store(int64(bytes))
	return r
}

// Reserve takes the bytes and reports true, or takes nothing and reports false if fewer are left.
func (r *Reserver) Reserve(bytes int) bool {
	if r.left.Add(int64(-bytes)) >= 0 {
		return true
	}
	r.left.Add(int64(bytes))
	return false
}

// Release gives back reserved bytes.
func (r *Reserver) Release(bytes int) {
	r.left.Add(int64(bytes))
}
