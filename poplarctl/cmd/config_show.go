package cmd

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
)

func newConfigShow(s *app) subcommand {
	parsed := flaggy.NewSubcommand("show")
	parsed.Description = "show the accepted configuration that the token may read"
	var team string
	var asYAML bool
	parsed.String(&team, "", "team", "only the document of this team")
	parsed.Bool(&asYAML, "", "yaml", "write the documents as YAML, in the format that config apply reads")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		var snap snapshot.Snapshot
		if _, err := s.newRequester().Read(ctx, "/v1/config", &snap); err != nil {
			return err
		}
		if team != "" {
			snap.Documents = slices.DeleteFunc(snap.Documents, func(d document.Document) bool { return d.Team != team })
		}
		if asYAML {
			return s.writeYAML(snap.Documents)
		}
		line := fmt.Sprintf("revision %d (change %s), zones out: %s", snap.Revision, snap.ChangeID, joinOrPlaceholder(snap.ZonesOut, "none"))
		return s.newPrinter().Value(snap, line, newClassTable(snap.Documents)...)
	}}
}

func (s *app) writeYAML(docs []document.Document) error {
	encoder := yaml.NewEncoder(s.out)
	for _, doc := range docs {
		if err := encoder.Encode(doc); err != nil {
			return errors.Wrap(err, "writing the document")
		}
	}
	return errors.Wrap(encoder.Close(), "writing the documents")
}

func newClassTable(docs []document.Document) [][]string {
	rows := [][]string{{
		"TEAM", "CLASS", "SERVICE", "HOSTS", "METHODS", "PATH_PREFIX", "EXECUTION", "TARGET_MS", "DEADLINE_MS", "HOME_REGIONS", "SPILL", "URGENCY",
	}}
	for _, doc := range docs {
		for _, c := range doc.Classes {
			rows = append(rows, []string{
				doc.Team, c.Name, c.Service, joinOrPlaceholder(c.Hosts, "any"), joinOrPlaceholder(c.Methods, ""), c.PathPrefix, c.Execution,
				strconv.FormatInt(c.LatencyTargetMS, 10), strconv.FormatInt(c.DeadlineMS, 10), joinOrPlaceholder(c.HomeRegions, "any"), c.Spill, c.Urgency,
			})
		}
	}
	return rows
}

// joinOrPlaceholder joins the values with commas, or returns the placeholder if there are no values.
func joinOrPlaceholder(values []string, placeholder string) string {
	if len(values) == 0 {
		return placeholder
	}
	return strings.Join(values, ",")
}
