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

// relayCommand simulates a network link between two processes.
type relayCommand struct {
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

type relayedBytes struct {
	BytesToTarget   int64 `json:"bytes_to_target"`
	BytesFromTarget int64 `json:"bytes_from_target"`
}

func newRelayCommand() *relayCommand {
	return &relayCommand{listen: "127.0.0.1:0", control: "127.0.0.1:0"}
}

func (r *relayCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("relay")
	s.Description = "Relays TCP connections over a link that can be slow, interrupted or silent."
	s.String(&r.listen, "", "listen", "address to listen at")
	s.String(&r.target, "", "target", "address to relay to")
	s.String(&r.control, "", "control", "address of the control API")
	s.Int(&r.delayMS, "", "delay-ms", "delay of bytes in each direction, ms")
	return s
}

func (r *relayCommand) run(ctx context.Context, stdout io.Writer) error {
	if r.target == "" {
		return errors.New(`--target "": must be an address such as 127.0.0.1:7000`)
	}
	if r.delayMS < 0 {
		return errors.Errorf("--delay-ms %d: must be 0 or more", r.delayMS)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := listen(ctx, r.control)
	if err != nil {
		return err
	}
	relay := forwarder.New(r.target, forwarder.Settings{DelayMS: r.delayMS})
	done, err := relay.Start(ctx, r.listen)
	if err != nil {
		listener.Close()
		return err
	}
	controlDone := serve(ctx, listener, relayRoutes(relay))
	ready := relayReady{Ready: true, Address: relay.Address(), Control: listener.Addr().String()}
	if err := printReady(stdout, ready); err != nil {
		return err
	}
	err = <-done
	cancel()
	if controlErr := <-controlDone; err == nil {
		err = controlErr
	}
	return err
}

func relayRoutes(relay *forwarder.Forwarder) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/standin/control", func(w http.ResponseWriter, r *http.Request) {
		settings := relay.Settings()
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&settings); err != nil {
			http.Error(w, "control: "+err.Error(), http.StatusBadRequest)
			return
		}
		relay.Change(func(s *forwarder.Settings) { *s = settings })
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	router.HandleFunc("/standin/calls", func(w http.ResponseWriter, _ *http.Request) {
		var relayed relayedBytes
		relayed.BytesToTarget, relayed.BytesFromTarget = relay.Bytes()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(relayed)
	}).Methods(http.MethodGet)
	return router
}
