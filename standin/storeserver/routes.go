package storeserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"poplarhook.example/lib/object"
)

// writeCondition reports whether a write may be applied to an object with the given current version, 0 for absent.
type writeCondition func(version int64) bool

type listedObject struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

type listing struct {
	Objects []listedObject `json:"objects"`
}

type problemBody struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
}

// ServeHTTP serves the API of the object store.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Server) routes() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/v1/objects", s.serveList).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{key:.+}", s.serveGet).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{key:.+}", s.servePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/objects/{key:.+}", s.serveDelete).Methods(http.MethodDelete)
	router.HandleFunc("/v1/watch/{key:.+}", s.serveWatch).Methods(http.MethodGet)
	return router
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	if !s.beginRead(w, r, &s.counts.Reads) {
		return
	}
	found, _ := s.visibleObject(mux.Vars(r)["key"])
	s.waitHalfDelay(r.Context())
	if found.Version == 0 {
		writeProblem(w, http.StatusNotFound)
		return
	}
	writeObject(w, found)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	if !s.beginRead(w, r, &s.counts.Reads) {
		return
	}
	listed := s.listVisible(r.URL.Query().Get("prefix"))
	s.waitHalfDelay(r.Context())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listing{Objects: listed})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.beginRead(w, r, &s.counts.Watches) {
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		if !s.admitCall(r.Context()) {
			writeProblem(w, http.StatusServiceUnavailable)
			return
		}
		found, changed := s.visibleObject(mux.Vars(r)["key"])
		if found.Version > after {
			s.waitHalfDelay(r.Context())
			writeObject(w, found)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		case <-s.closed:
			writeProblem(w, http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	value, ok := s.beginWrite(w, r)
	if !ok {
		return
	}
	version := s.putIfMet(mux.Vars(r)["key"], value, parseCondition(r.Header))
	if version == 0 {
		s.endWrite(w, r, "", http.StatusPreconditionFailed)
		return
	}
	s.endWrite(w, r, entityTag(version), http.StatusOK)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.beginWrite(w, r); !ok {
		return
	}
	status := s.removeIfMet(mux.Vars(r)["key"], parseCondition(r.Header))
	s.endWrite(w, r, "", status)
}

// beginRead counts the call and waits for the first half of its delay; if the store does not admit the call, it answers
// with status 503 and returns false.
func (s *Server) beginRead(w http.ResponseWriter, r *http.Request, count *int64) bool {
	s.mu.Lock()
	*count++
	s.mu.Unlock()
	if !s.admitCall(r.Context()) {
		writeProblem(w, http.StatusServiceUnavailable)
		return false
	}
	s.waitHalfDelay(r.Context())
	return true
}

// beginWrite reads and records the whole body; afterwards a disconnect of the caller does not cancel the write. If the
// write must not be applied, it answers the caller and returns false.
func (s *Server) beginWrite(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	s.recordWrite(r.Method, mux.Vars(r)["key"], value)
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge)
		return nil, false
	}
	ctx := context.WithoutCancel(r.Context())
	if !s.admitCall(ctx) {
		writeProblem(w, http.StatusServiceUnavailable)
		return nil, false
	}
	s.waitHalfDelay(ctx)
	return value, true
}

// endWrite answers a write after the second half of its delay, or aborts the connection if the reply must be lost.
func (s *Server) endWrite(w http.ResponseWriter, r *http.Request, etag string, status int) {
	s.waitHalfDelay(r.Context())
	if status < http.StatusBadRequest && s.takeLostReply() {
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		writeProblem(w, status)
		return
	}
	if etag != "" {
		w.Header().Set("ETag", etag)
	}
	w.WriteHeader(status)
}

func parseCondition(header http.Header) writeCondition {
	match := header.Get("If-Match")
	absent := header.Get("If-None-Match") == "*"
	return func(version int64) bool {
		if absent && version != 0 {
			return false
		}
		return match == "" || (version != 0 && match == entityTag(version))
	}
}

func entityTag(version int64) string {
	return strconv.Quote(strconv.FormatInt(version, 10))
}

func writeObject(w http.ResponseWriter, found object.Object) {
	w.Header().Set("ETag", entityTag(found.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(found.Value)
}

func writeProblem(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problemBody{Title: http.StatusText(status), Status: status})
}
