package cmd

import (
	"context"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"poplarhook.example/poplarctl/modules/requester"
)

func newZoneOut(s *shared) subcommand {
	return newZoneChange(s, "out", "take an availability zone out: it gets no new work", http.MethodPut)
}

func newZoneChange(s *shared, name, description, method string) subcommand {
	parsed := flaggy.NewSubcommand(name)
	parsed.Description = description
	var zone string
	c := change{shared: s}
	parsed.AddPositionalValue(&zone, "ZONE", 1, true, "name of the availability zone")
	c.addFlags(parsed)
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		return c.settle(ctx, requester.Request{Method: method, Path: "/v1/zones-out/" + url.PathEscape(zone)})
	}}
}
