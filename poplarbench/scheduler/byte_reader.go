package scheduler

import (
	"encoding/binary"
	"math/rand/v2"
)

// byteReader reads bytes from a seeded random source.
type byteReader struct {
	source *rand.Rand
}

func (r *byteReader) Read(p []byte) (int, error) {
	var word [8]byte
	for i := 0; i < len(p); i += len(word) {
		binary.LittleEndian.PutUint64(word[:], r.source.Uint64())
		copy(p[i:], word[:])
	}
	return len(p), nil
}
