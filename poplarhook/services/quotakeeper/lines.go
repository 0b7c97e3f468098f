package quotakeeper

import (
	"bufio"
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// lineBuffer is the size of the buffer of a stream; nearly all lines are shorter.
	lineBuffer = 2 << 10
	// maxLineBytes bounds one line, enough for some thousand workspaces.
	maxLineBytes = 256 << 10
)

// errLongLine means that a line of a stream has more than maxLineBytes.
var errLongLine = errors.New("line of a quota stream is too long")

// readLine reads one line of JSON.
func readLine[T any](r *bufio.Reader) (T, error) {
	var message T
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(long) > maxLineBytes {
				return message, errLongLine
			}
			line, err = r.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return message, errors.Wrap(err, "read")
	}
	return message, errors.Wrap(json.Unmarshal(line, &message), "decode")
}

// encodeLine encodes a message as one line of JSON.
func encodeLine(message any) []byte {
	line, err := json.Marshal(message)
	if err != nil {
		// Encoding cannot fail: messages hold numbers and texts.
		panic(err)
	}
	return append(line, '\n')
}
