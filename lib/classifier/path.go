package classifier

import (
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// ErrBadPath is returned for a path that two readers could take for two different paths.
var ErrBadPath = errors.New("ambiguous path")

// refused are the characters that servers disagree on, raw or escaped, anywhere in a path.
const refused = "\\;?#%"

// plainPath returns the path without escapes; it refuses dot segments, empty
// segments, path parameters and escapes that hide a separator.
func plainPath(escaped string) (string, error) {
	if !strings.HasPrefix(escaped, "/") {
		return "", errors.Wrapf(ErrBadPath, "%.80q does not start with /", escaped)
	}
	path, err := unescape(escaped)
	if err != nil {
		return "", err
	}
	if strings.ContainsFunc(path, isRefused) || !utf8.ValidString(path) {
		return "", errors.Wrapf(ErrBadPath, "%.80q holds a character that is refused", escaped)
	}
	return path, checkSegments(path)
}

func isRefused(r rune) bool {
	return r < ' ' || r == 0x7f || strings.ContainsRune(refused, r)
}

// checkSegments lets only the last segment be empty.
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

// unescape decodes percent escapes, and refuses one that hides a slash.
func unescape(escaped string) (string, error) {
	if !strings.Contains(escaped, "%") {
		return escaped, nil
	}
	var plain strings.Builder
	for i := 0; i < len(escaped); i++ {
		if escaped[i] != '%' {
			plain.WriteByte(escaped[i])
			continue
		}
		if i+2 >= len(escaped) {
			return "", errors.Wrapf(ErrBadPath, "%.80q ends inside an escape", escaped)
		}
		high, low := digit(escaped[i+1]), digit(escaped[i+2])
		value := high<<4 | low
		if high < 0 || low < 0 || value == '/' {
			return "", errors.Wrapf(ErrBadPath, "%.80q holds the escape %q", escaped, escaped[i:i+3])
		}
		plain.WriteByte(byte(value))
		i += 2
	}
	return plain.String(), nil
}

func digit(c byte) int {
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
