package cmd

import (
	"context"

	"github.com/integrii/flaggy"

	"poplarhook.example/lib/zone"
)

func newZoneList(s *shared) subcommand {
	parsed := flaggy.NewSubcommand("list")
	parsed.Description = "list the availability zones and which are out"
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		var list []zone.Zone
		if _, err := s.requester().Read(ctx, "/v1/zones", &list); err != nil {
			return err
		}
		rows := [][]string{{"ZONE", "REGION", "STATE"}}
		for _, z := range list {
			state := "in"
			if z.Out {
				state = "out"
			}
			rows = append(rows, []string{z.Name, z.Region, state})
		}
		return s.printer().Value(list, "", rows...)
	}}
}
