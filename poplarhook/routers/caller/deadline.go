package caller

import (
	"strconv"
	"time"
)

// maxTimeoutDigits is the maximum number of digits that the gRPC protocol allows in a timeout.
const maxTimeoutDigits = 8

var timeoutUnits = map[byte]time.Duration{
	'H': time.Hour,
	'M': time.Minute,
	'S': time.Second,
	'm': time.Millisecond,
	'u': time.Microsecond,
	'n': time.Nanosecond,
}

// parseTimeout parses the value of a Grpc-Timeout header; the result is false if the value is missing or invalid.
func parseTimeout(header string) (time.Duration, bool) {
	if len(header) < 2 || len(header) > maxTimeoutDigits+1 {
		return 0, false
	}
	unit, known := timeoutUnits[header[len(header)-1]]
	amount, err := strconv.ParseUint(header[:len(header)-1], 10, 32)
	if !known || err != nil {
		return 0, false
	}
	return time.Duration(amount) * unit, true
}
