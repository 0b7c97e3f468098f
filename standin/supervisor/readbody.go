package supervisor

import (
	"io"
	"net/http"
)

const maxControlBytes = 64 << 10

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
}
