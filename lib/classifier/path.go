package classifier

import (
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// ErrBadPath is returned for a path that two servers could interpret as two different paths.
var ErrBadPath = errors.New("ambiguous path")

// refusedRunes are the characters that servers interpret differently. They are refused anywhere in a path, both raw and
// escaped.
const refusedRunes = "\\;?#%"

// decodePath decodes the escapes of the path; it refuses dot segments, empty segments, path parameters and escapes of a
// separator.
func decodePath(escaped string) (string, error) {
	if !strings.HasPrefix(escaped, "/") {
		return "", errors.Wrapf(ErrBadPath, "%.80q does not start with /", escaped)
	}
	path, err := unescapePath(escaped)
	if err != nil {
		return "", err
	}
	if strings.ContainsFunc(path, isRefusedRune) || !utf8.ValidString(path) {
		return "", errors.Wrapf(ErrBadPath, "%.80q holds a character that is refused", escaped)
	}
	return path, checkSegments(path)
}

func isRefusedRune(r rune) bool {
	return r < ' ' || r == 0x7f || strings.ContainsRune(refusedRunes, r)
}

// checkSegments refuses dot segments, and empty segments except the last one.
func checkSegments(path string) error {
	rest := path[1:]
	for {
		segment, tail, more := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && more) {
			return errors.Wrapf(ErrBadPath, "%.80q holds a dot segment or an empty one", path)
		}
		if !more {
			return nil
		}
		rest = tail
	}
}

// unescapePath decodes percent escapes, and refuses an escaped slash.
func unescapePath(escaped string) (string, error) {
	if !strings.Contains(escaped, "%") {
		return escaped, nil
	}
	var decoded strings.Builder
	for i := 0; i < len(escaped); i++ {
		if escaped[i] != '%' {
			decoded.WriteByte(escaped[i])
			continue
		}
		if i+2 >= len(escaped) {
			return "", errors.Wrapf(ErrBadPath, "%.80q ends inside an escape", escaped)
		}
		high, low := parseHexDigit(escaped[i+1]), parseHexDigit(escaped[i+2])
		value := high<<4 | low
		if high < 0 || low < 0 || value == '/' {
			return "", errors.Wrapf(ErrBadPath, "%.80q holds the escape %q", escaped, escaped[i:i+3])
		}
		decoded.WriteByte(byte(value))
		i += 2
	}
	return decoded.String(), nil
}

func parseHexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
