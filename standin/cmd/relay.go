package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/standin/forwarder"
)

const maxControlBytes = 64 << 10

// relay plays a link between two processes.
type relay struct {
	listen  string
	target  string
	control string
	delayMS int
}

type relayReady struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
	Control string `json:"control"`
}

type relayed struct {
	BytesToTarget   int64 `json:"bytes_to_target"`
	BytesFromTarget int64 `json:"bytes_from_target"`
}

func newRelay() *relay {
	return &relay{listen: "127.0.0.1:0", control: "127.0.0.1:0"}
}

func (r *relay) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("relay")
	s.Description = "Relays TCP connections over a link that can be slow, cut or forgetful."
	s.String(&r.listen, "", "listen", "address to listen at")
	s.String(&r.target, "", "target", "address to relay to")
	s.String(&r.control, "", "control", "address of the control")
	s.Int(&r.delayMS, "", "delay-ms", "time that bytes take in each direction, ms")
	return s
}

func (r *relay) run(ctx context.Context, stdout io.Writer) error {
	if r.target == "" {
		return errors.New(`--target "": allowed is an address such as 127.0.0.1:7000`)
	}
	if r.delayMS < 0 {
		return errors.Errorf("--delay-ms %d: allowed are 0 and more", r.delayMS)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := listen(ctx, r.control)
	if err != nil {
		return err
	}
	played := forwarder.New(r.target, forwarder.Settings{DelayMS: r.delayMS})
	done, err := played.Start(ctx, r.listen)
	if err != nil {
		listener.Close()
		return err
	}
	controlDone := serve(ctx, listener, relayRoutes(played))
	ready := relayReady{Ready: true, Address: played.Address(), Control: listener.Addr().String()}
	if err := announce(stdout, ready); err != nil {
		return err
	}
	err = <-done
	cancel()
	if controlErr := <-controlDone; err == nil {
		err = controlErr
	}
	return err
}

func relayRoutes(played *forwarder.Forwarder) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/standin/control", func(w http.ResponseWriter, r *http.Request) {
		wanted := played.Settings()
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&wanted); err != nil {
			http.Error(w, "control: "+err.Error(), http.StatusBadRequest)
			return
		}
		played.Change(func(s *forwarder.Settings) { *s = wanted })
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	router.HandleFunc("/standin/calls", func(w http.ResponseWriter, _ *http.Request) {
		var carried relayed
		carried.BytesToTarget, carried.BytesFromTarget = played.Bytes()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(carried)
	}).Methods(http.MethodGet)
	return router
}
