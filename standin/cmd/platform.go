package cmd

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"poplarhook.example/standin/provider"
)

// platform plays the object store and the host list.
type platform struct {
	listen string
	hosts  string
}

type platformReady struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

func newPlatform() *platform {
	return &platform{listen: "127.0.0.1:0"}
}

func (p *platform) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("platform")
	s.Description = "Plays the object store and the host list."
	s.String(&p.listen, "", "listen", "address to listen at")
	s.String(&p.hosts, "", "hosts", "JSON file of the hosts to list from the start")
	return s
}

func (p *platform) run(ctx context.Context, stdout io.Writer) error {
	hosts, err := readHosts(p.hosts)
	if err != nil {
		return err
	}
	listener, err := listen(ctx, p.listen)
	if err != nil {
		return err
	}
	played := provider.New(hosts...)
	defer played.Close()
	done := serve(ctx, listener, played)
	if err := announce(stdout, platformReady{Ready: true, Address: listener.Addr().String()}); err != nil {
		return err
	}
	return <-done
}
