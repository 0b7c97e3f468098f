package spread

import (
	"fmt"
	"slices"
)

// Spread is the lowest, the middle and the highest of several values; for an even number of values, Middle is the upper
// of the two in the middle.
type Spread struct {
	Lowest  float64 `json:"lowest"`
	Middle  float64 `json:"middle"`
	Highest float64 `json:"highest"`
}

// New returns the spread of the values, or the zero Spread if there are none.
func New(values ...float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Spread{Lowest: sorted[0], Middle: sorted[len(sorted)/2], Highest: sorted[len(sorted)-1]}
}

// String returns the middle value, followed by the lowest and highest in brackets.
func (s Spread) String() string {
	return fmt.Sprintf("%.1f [%.1f-%.1f]", s.Middle, s.Lowest, s.Highest)
}
