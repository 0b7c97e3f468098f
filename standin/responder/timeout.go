package responder

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const maxTimeoutDigits = 8

// parseTimeout parses the value of a Grpc-Timeout header: at most eight digits and a unit.
func parseTimeout(text string) (timeout time.Duration, given bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	units := map[byte]time.Duration{
		'H': time.Hour, 'M': time.Minute, 'S': time.Second,
		'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
	}
	digits := text[:len(text)-1]
	unit, known := units[text[len(text)-1]]
	number, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || !known || len(digits) > maxTimeoutDigits {
		return 0, false, errors.Errorf("Grpc-Timeout %q: allowed are up to %d digits and one of H, M, S, m, u, n", text, maxTimeoutDigits)
	}
	return time.Duration(number) * unit, true, nil
}
