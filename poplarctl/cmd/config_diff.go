package cmd

import (
	"context"
	"fmt"
	"slices"

	"github.com/integrii/flaggy"

	"poplarhook.example/lib/difference"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
)

// comparison is the answer of a comparison as JSON.
type comparison struct {
	Team        string                  `json:"team"`
	Revision    int64                   `json:"revision"`
	Differences []difference.Difference `json:"differences"`
}

func newConfigDiff(s *shared) subcommand {
	parsed := flaggy.NewSubcommand("diff")
	parsed.Description = "compare a document with the team's accepted one"
	var file string
	parsed.AddPositionalValue(&file, "FILE", 1, true, "document in YAML or JSON, - for standard input")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		doc, _, err := s.readDocument(file)
		if err != nil {
			return err
		}
		var snap snapshot.Snapshot
		if _, err := s.requester().Read(ctx, "/v1/config", &snap); err != nil {
			return err
		}
		var accepted document.Document
		if at := slices.IndexFunc(snap.Documents, func(d document.Document) bool { return d.Team == doc.Team }); at >= 0 {
			accepted = snap.Documents[at]
		}
		found := comparison{Team: doc.Team, Revision: snap.Revision, Differences: difference.Between(accepted, doc)}
		line := fmt.Sprintf("%d differences from revision %d for team %s", len(found.Differences), snap.Revision, doc.Team)
		return s.printer().Value(found, line, differenceTable(found.Differences)...)
	}}
}

func differenceTable(list []difference.Difference) [][]string {
	rows := [][]string{{"CLASS", "FIELD", "ACCEPTED", "IN_FILE"}}
	for _, d := range list {
		rows = append(rows, []string{d.Class, d.Field, d.Old, d.New})
	}
	return rows
}
