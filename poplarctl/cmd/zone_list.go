package cmd

import (
	"context"

	"github.com/integrii/flaggy"

	"poplarhook.example/lib/zone"
)

func newZoneList(s *app) subcommand {
	parsed := flaggy.NewSubcommand("list")
	parsed.Description = "list the availability zones and whether each is in or out of service"
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		var zones []zone.Zone
		if _, err := s.newRequester().Read(ctx, "/v1/zones", &zones); err != nil {
			return err
		}
		rows := [][]string{{"ZONE", "REGION", "STATE"}}
		for _, z := range zones {
			state := "in"
			if z.Out {
				state = "out"
			}
			rows = append(rows, []string{z.Name, z.Region, state})
		}
		return s.newPrinter().Value(zones, "", rows...)
	}}
}
