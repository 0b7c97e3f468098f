package cmd

import (
	"context"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"poplarhook.example/poplarctl/modules/requester"
)

func newZoneOut(s *app) subcommand {
	return newZoneChange(s, "out", "take an availability zone out of service: its endpoints get no new requests", http.MethodPut)
}

func newZoneChange(s *app, name, description, method string) subcommand {
	parsed := flaggy.NewSubcommand(name)
	parsed.Description = description
	var zone string
	c := changeCommand{app: s}
	parsed.AddPositionalValue(&zone, "ZONE", 1, true, "name of the availability zone")
	c.addFlags(parsed)
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		return c.submit(ctx, requester.Request{Method: method, Path: "/v1/zones-out/" + url.PathEscape(zone)})
	}}
}
