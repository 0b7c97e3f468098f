package lookbudget

import "time"

// reserve is for how long unused looks are kept.
const reserve = 2 * time.Second

// Budget gives out looks at a rate; it is not safe for concurrent use.
type Budget struct {
	left float64
	at   time.Time
}

// New returns a Budget that is full the first time it is asked.
func New() *Budget {
	return &Budget{}
}

// Take returns how many of the wanted looks may be made at the rate a second; zero or less sets no bound.
func (b *Budget) Take(now time.Time, perSecond float64, wanted int) int {
	if perSecond <= 0 {
		return wanted
	}
	most := perSecond * reserve.Seconds()
	if b.at.IsZero() {
		b.left = most
	} else {
		b.left = min(b.left+perSecond*now.Sub(b.at).Seconds(), most)
	}
	b.at = now
	given := min(wanted, max(int(b.left), 0))
	b.left -= float64(given)
	return given
}
