package exchanger

import (
	"bufio"
	"bytes"

	"github.com/pkg/errors"
)

// errMalformedStatusLine means that the first line of a response is no status line of HTTP/1 with a status from 100 to
// 599.
var errMalformedStatusLine = errors.New("malformed status line")

// statusLineStart describes how a status line starts: d stands for a digit and s for the first digit of a status.
const statusLineStart = "HTTP/1.d sdd "

// checkStatusLine fails unless the next line of the reader is a proper status line. It consumes nothing, and fails at
// the first byte that is wrong.
//
// http.ReadResponse accepts any three characters that are a number, several
// spaces, other versions and control characters.
func checkStatusLine(reader *bufio.Reader) error {
	for i := range len(statusLineStart) {
		start, err := reader.Peek(i + 1)
		if err != nil {
			return err
		}
		if !matches(statusLineStart[i], start[i]) {
			return errors.Wrapf(errMalformedStatusLine, "%q", start)
		}
	}
	return checkReason(reader)
}

// matches reports whether the byte is one that the character of statusLineStart stands for.
func matches(expected, b byte) bool {
	switch expected {
	case 'd':
		return b >= '0' && b <= '9'
	case 's':
		return b >= '1' && b <= '5'
	default:
		return b == expected
	}
}

// checkReason fails if the reason after the status contains a control character other than a tab. Of a line that is
// longer than the reader's buffer only the part in the buffer is checked.
func checkReason(reader *bufio.Reader) error {
	for length := len(statusLineStart); ; length++ {
		line, err := reader.Peek(max(length, reader.Buffered()))
		if errors.Is(err, bufio.ErrBufferFull) {
			line, err = reader.Peek(reader.Buffered())
		}
		reason, _, ended := bytes.Cut(line[min(len(statusLineStart), len(line)):], []byte{'\n'})
		if i := bytes.IndexFunc(bytes.TrimSuffix(reason, []byte{'\r'}), isControl); i >= 0 {
			return errors.Wrapf(errMalformedStatusLine, "control character in the reason %q", reason)
		}
		if err != nil {
			return err
		}
		if ended || len(line) == reader.Size() {
			return nil
		}
		length = len(line)
	}
}

func isControl(r rune) bool {
	return (r < ' ' && r != '\t') || r == 0x7f
}
