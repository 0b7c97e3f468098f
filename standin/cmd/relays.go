package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/standin/connector"
	"poplarhook.example/standin/forwarder"
)

// relaysCommand simulates links with the same delay to many targets, which clients name through the control API.
type relaysCommand struct {
	control string
	delayMS int
}

type relaysReady struct {
	Ready   bool   `json:"ready"`
	Control string `json:"control"`
}

// relayRequest asks for a relay to the target.
type relayRequest struct {
	Target string `json:"target"`
}

// relayResponse holds the address at which the relay to the target listens.
type relayResponse struct {
	Address string `json:"address"`
}

func newRelaysCommand() *relaysCommand {
	return &relaysCommand{control: "127.0.0.1:0"}
}

func (r *relaysCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("relays")
	s.Description = "Relays TCP connections to many targets over links with the same delay."
	s.String(&r.control, "", "control", "address of the control API")
	s.Int(&r.delayMS, "", "delay-ms", "delay of bytes in each direction, ms")
	return s
}

func (r *relaysCommand) run(ctx context.Context, stdout io.Writer) error {
	if r.delayMS < 0 {
		return errors.Errorf("--delay-ms %d: must be 0 or more", r.delayMS)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := listen(ctx, r.control)
	if err != nil {
		return err
	}
	connections := connector.New(forwarder.Settings{DelayMS: r.delayMS})
	done := serve(ctx, listener, newRelayControlHandler(ctx, connections))
	if err := printReady(stdout, relaysReady{Ready: true, Control: listener.Addr().String()}); err != nil {
		return err
	}
	err = <-done
	cancel()
	if relayErr := connections.Wait(); err == nil {
		err = relayErr
	}
	return err
}

// newRelayControlHandler returns the control API, which opens relays that run until the context ends.
func newRelayControlHandler(ctx context.Context, connections *connector.Connector) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/standin/relays", func(w http.ResponseWriter, r *http.Request) {
		var request relayRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&request); err != nil {
			http.Error(w, "relay: "+err.Error(), http.StatusBadRequest)
			return
		}
		if request.Target == "" {
			http.Error(w, `relay: target "": allowed is an address such as 127.0.0.1:7000`, http.StatusBadRequest)
			return
		}
		address, err := connections.Connect(ctx, request.Target)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(relayResponse{Address: address})
	}).Methods(http.MethodPost)
	return router
}
