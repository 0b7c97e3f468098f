package cmd

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"poplarhook.example/lib/defect"
	"poplarhook.example/lib/status"
)

func newStatus(s *app) subcommand {
	parsed := flaggy.NewSubcommand("status")
	parsed.Description = "show the revision that each entry host runs, and the endpoints that are not warm with the reason"
	var all bool
	parsed.Bool(&all, "", "all", "show the warm endpoints too")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		var current status.Status
		if _, err := s.newRequester().Read(ctx, "/v1/status", &current); err != nil {
			return err
		}
		if err := s.newPrinter().Value(current, formatStatusLine(current), newHostTable(current.Hosts)...); err != nil || s.json {
			return err
		}
		if defects := newDefectTable(current.Hosts); len(defects) > 1 {
			if err := s.newPrinter().Value(current, "", defects...); err != nil {
				return err
			}
		}
		return s.newPrinter().Value(current, "", newEndpointTable(current.Endpoints, all)...)
	}}
}

func formatStatusLine(current status.Status) string {
	counts := map[string]int{}
	for _, e := range current.Endpoints {
		counts[e.State]++
	}
	return fmt.Sprintf("%s runs revision %d; endpoints: %d warm, %d cold, %d leaving, %d out, %d failed; store calls: %d reads, %d writes, %d watches",
		current.HostID, current.Revision, counts[status.EndpointWarm], counts[status.EndpointCold], counts[status.EndpointLeaving],
		counts[status.EndpointOut], counts[status.EndpointFailed], current.Calls.Reads, current.Calls.Writes, current.Calls.Watches)
}

func newHostTable(hosts []status.Host) [][]string {
	rows := [][]string{{"ENTRY_HOST", "REGION", "ZONE", "STATE", "REVISION", "ADMIN_ADDRESS"}}
	for _, h := range hosts {
		rows = append(rows, []string{
			h.ID, h.Region, h.AvailabilityZone, h.State, strconv.FormatInt(h.Revision, 10), h.AdminAddress,
		})
	}
	return rows
}

// newDefectTable returns the entries of the configuration that hosts cannot read, each with the hosts that cannot.
func newDefectTable(hosts []status.Host) [][]string {
	var defects []defect.Defect
	hostsByDefect := make(map[defect.Defect][]string)
	for _, h := range hosts {
		for _, d := range h.Defects {
			if len(hostsByDefect[d]) == 0 {
				defects = append(defects, d)
			}
			hostsByDefect[d] = append(hostsByDefect[d], h.ID)
		}
	}
	rows := [][]string{{"UNREADABLE_ENTRY", "FIELD", "VALUE", "ALLOWED", "ENTRY_HOSTS"}}
	for _, d := range defects {
		rows = append(rows, []string{strings.TrimSpace(d.Kind + " " + d.Entry), d.Field, d.Value, d.Allowed, strings.Join(hostsByDefect[d], ",")})
	}
	return rows
}

func newEndpointTable(endpoints []status.Endpoint, all bool) [][]string {
	rows := [][]string{{"ENDPOINT", "SERVICE", "REGION", "ZONE", "STATE", "REASON"}}
	for _, e := range endpoints {
		if all || e.State != status.EndpointWarm {
			rows = append(rows, []string{e.ID, e.Service, e.Region, e.AvailabilityZone, e.State, e.Reason})
		}
	}
	return rows
}
