package cmd

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"poplarhook.example/standin/platformserver"
)

// platformCommand simulates the object store and the host list.
type platformCommand struct {
	listen string
	hosts  string
}

type platformReady struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

func newPlatformCommand() *platformCommand {
	return &platformCommand{listen: "127.0.0.1:0"}
}

func (p *platformCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("platform")
	s.Description = "Simulates the object store and the host list."
	s.String(&p.listen, "", "listen", "address to listen at")
	s.String(&p.hosts, "", "hosts", "JSON file of the hosts that are listed at the start")
	return s
}

func (p *platformCommand) run(ctx context.Context, stdout io.Writer) error {
	hosts, err := readHosts(p.hosts)
	if err != nil {
		return err
	}
	listener, err := listen(ctx, p.listen)
	if err != nil {
		return err
	}
	simulated := platformserver.New(hosts...)
	defer simulated.Close()
	done := serve(ctx, listener, simulated)
	if err := printReady(stdout, platformReady{Ready: true, Address: listener.Addr().String()}); err != nil {
		return err
	}
	return <-done
}
