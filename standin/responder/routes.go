package responder

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"poplarhook.example/standin/loadreport"
)

const maxControlBytes = 64 << 10

type connKey struct{}

func (r *Responder) routes() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/standin/control", r.serveControl).Methods(http.MethodPost)
	router.HandleFunc("/standin/executions", r.serveExecutions).Methods(http.MethodGet)
	router.HandleFunc("/healthz", r.serveHealth).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(r.serveWork)
	return router
}

// Control changes the settings that the JSON text contains, and returns an error for an unknown setting.
func (r *Responder) Control(text []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	updated := r.currentSettings()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&updated); err != nil {
		return errors.Wrap(err, "control")
	}
	r.applySettings(updated)
	return nil
}

func (r *Responder) serveControl(w http.ResponseWriter, request *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxControlBytes))
	if err == nil {
		err = r.Control(text)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Responder) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Account())
}

func (r *Responder) serveHealth(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	report, leaving := r.recordLoad(), r.settings.Leaving
	r.mu.Unlock()
	w.Header().Set(loadreport.Header, report.String())
	if leaving {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
