package cmd

import (
	"context"
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"poplarhook.example/lib/status"
)

func newStatus(s *shared) subcommand {
	parsed := flaggy.NewSubcommand("status")
	parsed.Description = "show which revision each entry host runs, and which endpoints are not warm and why"
	var all bool
	parsed.Bool(&all, "", "all", "show the warm endpoints too")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		var seen status.Status
		if _, err := s.requester().Read(ctx, "/v1/status", &seen); err != nil {
			return err
		}
		if err := s.printer().Value(seen, statusLine(seen), hostTable(seen.Hosts)...); err != nil || s.json {
			return err
		}
		return s.printer().Value(seen, "", endpointTable(seen.Endpoints, all)...)
	}}
}

func statusLine(seen status.Status) string {
	counts := map[string]int{}
	for _, e := range seen.Endpoints {
		counts[e.State]++
	}
	return fmt.Sprintf("%s runs revision %d; endpoints: %d warm, %d cold, %d leaving, %d out, %d failed; store calls: %d reads, %d writes, %d watches",
		seen.HostID, seen.Revision, counts[status.EndpointWarm], counts[status.EndpointCold], counts[status.EndpointLeaving],
		counts[status.EndpointOut], counts[status.EndpointFailed], seen.Calls.Reads, seen.Calls.Writes, seen.Calls.Watches)
}

func hostTable(hosts []status.Host) [][]string {
	rows := [][]string{{"ENTRY_HOST", "REGION", "ZONE", "STATE", "REVISION", "ADMIN_ADDRESS"}}
	for _, h := range hosts {
		rows = append(rows, []string{
			h.ID, h.Region, h.AvailabilityZone, h.State, strconv.FormatInt(h.Revision, 10), h.AdminAddress,
		})
	}
	return rows
}

func endpointTable(endpoints []status.Endpoint, all bool) [][]string {
	rows := [][]string{{"ENDPOINT", "SERVICE", "REGION", "ZONE", "STATE", "REASON"}}
	for _, e := range endpoints {
		if all || e.State != status.EndpointWarm {
			rows = append(rows, []string{e.ID, e.Service, e.Region, e.AvailabilityZone, e.State, e.Reason})
		}
	}
	return rows
}
