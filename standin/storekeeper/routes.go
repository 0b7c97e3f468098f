package storekeeper

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

// condition tells by an object's version, 0 for absent, whether a write may apply.
type condition func(version int64) bool

type listedObject struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

type listing struct {
	Objects []listedObject `json:"objects"`
}

type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
}

// ServeHTTP answers the store's calls.
func (k *Storekeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.handler.ServeHTTP(w, r)
}

func (k *Storekeeper) routes() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/v1/objects", k.serveList).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{key:.+}", k.serveGet).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{key:.+}", k.servePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/objects/{key:.+}", k.serveDelete).Methods(http.MethodDelete)
	router.HandleFunc("/v1/watch/{key:.+}", k.serveWatch).Methods(http.MethodGet)
	return router
}

func (k *Storekeeper) serveGet(w http.ResponseWriter, r *http.Request) {
	if !k.beginRead(w, r, &k.counts.Reads) {
		return
	}
	found, _ := k.visible(mux.Vars(r)["key"])
	k.delay(r.Context())
	if found.Version == 0 {
		refuse(w, http.StatusNotFound)
		return
	}
	writeObject(w, found)
}

func (k *Storekeeper) serveList(w http.ResponseWriter, r *http.Request) {
	if !k.beginRead(w, r, &k.counts.Reads) {
		return
	}
	listed := k.list(r.URL.Query().Get("prefix"))
	k.delay(r.Context())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listing{Objects: listed})
}

func (k *Storekeeper) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !k.beginRead(w, r, &k.counts.Watches) {
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		if !k.admit(r.Context()) {
			refuse(w, http.StatusServiceUnavailable)
			return
		}
		found, changed := k.visible(mux.Vars(r)["key"])
		if found.Version > after {
			k.delay(r.Context())
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
		case <-k.closed:
			refuse(w, http.StatusServiceUnavailable)
			return
		}
	}
}

func (k *Storekeeper) servePut(w http.ResponseWriter, r *http.Request) {
	value, ok := k.beginWrite(w, r)
	if !ok {
		return
	}
	version := k.put(mux.Vars(r)["key"], value, parseCondition(r.Header))
	if version == 0 {
		k.endWrite(w, r, "", http.StatusPreconditionFailed)
		return
	}
	k.endWrite(w, r, entityTag(version), http.StatusOK)
}

func (k *Storekeeper) serveDelete(w http.ResponseWriter, r *http.Request) {
	if _, ok := k.beginWrite(w, r); !ok {
		return
	}
	status := k.remove(mux.Vars(r)["key"], parseCondition(r.Header))
	k.endWrite(w, r, "", status)
}

func (k *Storekeeper) beginRead(w http.ResponseWriter, r *http.Request, count *int64) bool {
	k.mu.Lock()
	*count++
	k.mu.Unlock()
	if !k.admit(r.Context()) {
		refuse(w, http.StatusServiceUnavailable)
		return false
	}
	k.delay(r.Context())
	return true
}

// beginWrite reads the whole body; from then on the write no longer depends on its caller.
func (k *Storekeeper) beginWrite(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	k.noteWrite(r.Method, mux.Vars(r)["key"], value)
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge)
		return nil, false
	}
	ctx := context.WithoutCancel(r.Context())
	if !k.admit(ctx) {
		refuse(w, http.StatusServiceUnavailable)
		return nil, false
	}
	k.delay(ctx)
	return value, true
}

func (k *Storekeeper) endWrite(w http.ResponseWriter, r *http.Request, tag string, status int) {
	k.delay(r.Context())
	if status < http.StatusBadRequest && k.losesReply() {
		panic(http.ErrAbortHandler)
	}
	if status >= http.StatusBadRequest {
		refuse(w, status)
		return
	}
	if tag != "" {
		w.Header().Set("ETag", tag)
	}
	w.WriteHeader(status)
}

func parseCondition(header http.Header) condition {
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

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{Title: http.StatusText(status), Status: status})
}
