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

// relays plays links of one delay to many targets, which are named while it runs.
type relays struct {
	control string
	delayMS int
}

type relaysReady struct {
	Ready   bool   `json:"ready"`
	Control string `json:"control"`
}

// wantedRelay names the target of a relay.
type wantedRelay struct {
	Target string `json:"target"`
}

// openedRelay tells the address that leads to the target.
type openedRelay struct {
	Address string `json:"address"`
}

func newRelays() *relays {
	return &relays{control: "127.0.0.1:0"}
}

func (r *relays) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("relays")
	s.Description = "Relays TCP connections to many targets over links of one delay."
	s.String(&r.control, "", "control", "address of the control")
	s.Int(&r.delayMS, "", "delay-ms", "time that bytes take in each direction, ms")
	return s
}

func (r *relays) run(ctx context.Context, stdout io.Writer) error {
	if r.delayMS < 0 {
		return errors.Errorf("--delay-ms %d: allowed are 0 and more", r.delayMS)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := listen(ctx, r.control)
	if err != nil {
		return err
	}
	played := connector.New(forwarder.Settings{DelayMS: r.delayMS})
	done := serve(ctx, listener, relaysRoutes(ctx, played))
	if err := announce(stdout, relaysReady{Ready: true, Control: listener.Addr().String()}); err != nil {
		return err
	}
	err = <-done
	cancel()
	if relayErr := played.Wait(); err == nil {
		err = relayErr
	}
	return err
}

// relaysRoutes opens relays that run until the context ends.
func relaysRoutes(ctx context.Context, played *connector.Connector) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/standin/relays", func(w http.ResponseWriter, r *http.Request) {
		var wanted wantedRelay
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&wanted); err != nil {
			http.Error(w, "relay: "+err.Error(), http.StatusBadRequest)
			return
		}
		if wanted.Target == "" {
			http.Error(w, `relay: target "": allowed is an address such as 127.0.0.1:7000`, http.StatusBadRequest)
			return
		}
		address, err := played.Connect(ctx, wanted.Target)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(openedRelay{Address: address})
	}).Methods(http.MethodPost)
	return router
}
