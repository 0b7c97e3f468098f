package cmd

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/lib/difference"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
)

// revisionComparison is the JSON output of a comparison of two revisions.
type revisionComparison struct {
	From        int64                   `json:"from"`
	To          int64                   `json:"to"`
	Differences []difference.Difference `json:"differences"`
}

// documentComparison is the JSON output of a comparison of a document with the accepted one.
type documentComparison struct {
	Team        string                  `json:"team"`
	Revision    int64                   `json:"revision"`
	Differences []difference.Difference `json:"differences"`
}

func newConfigDiff(s *app) subcommand {
	parsed := flaggy.NewSubcommand("diff")
	parsed.Description = "compare a document with the team's accepted one, or two revisions of the configuration"
	var file string
	var from, to int64
	parsed.AddPositionalValue(&file, "FILE", 1, false, "document in YAML or JSON, - for standard input")
	parsed.Int64(&from, "", "from", "revision to compare from; an entry host keeps only the latest ones, see config history")
	parsed.Int64(&to, "", "to", "revision to compare with; default: the current one")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		switch {
		case from > 0 && file == "":
			return s.compareRevisions(ctx, from, to)
		case from != 0 || to != 0:
			return errors.Wrapf(ErrUsage, "--from %d --to %d: --from must be a revision above 0, without a FILE", from, to)
		case file == "":
			return errors.Wrap(ErrUsage, "config diff: a FILE or --from is required")
		}
		doc, _, err := s.readDocument(file)
		if err != nil {
			return err
		}
		var snap snapshot.Snapshot
		if _, err := s.newRequester().Read(ctx, "/v1/config", &snap); err != nil {
			return err
		}
		result := documentComparison{Team: doc.Team, Revision: snap.Revision, Differences: difference.Between(documentOf(snap, doc.Team), doc)}
		line := fmt.Sprintf("%d differences from revision %d for team %s", len(result.Differences), snap.Revision, doc.Team)
		return s.newPrinter().Value(result, line, newDifferenceTable(result.Differences)...)
	}}
}

// compareRevisions prints the differences between two revisions that the entry host keeps.
func (s *app) compareRevisions(ctx context.Context, from, to int64) error {
	before, err := s.readConfigurationAt(ctx, from)
	if err != nil {
		return err
	}
	after, err := s.readConfigurationAt(ctx, to)
	if err != nil {
		return err
	}
	result := revisionComparison{From: before.Revision, To: after.Revision, Differences: differencesOf(before, after)}
	line := fmt.Sprintf("%d differences from revision %d to %d", len(result.Differences), result.From, result.To)
	rows := newDifferenceTable(result.Differences)
	rows[0] = []string{"CLASS", "FIELD", "FROM", "TO"}
	return s.newPrinter().Value(result, line, rows...)
}

// readConfigurationAt returns the configuration at the revision, or the current one if the revision is zero.
func (s *app) readConfigurationAt(ctx context.Context, revision int64) (snapshot.Snapshot, error) {
	path := "/v1/config"
	if revision != 0 {
		path += "?revision=" + strconv.FormatInt(revision, 10)
	}
	var snap snapshot.Snapshot
	if _, err := s.newRequester().Read(ctx, path, &snap); err != nil {
		return snapshot.Snapshot{}, err
	}
	if revision != 0 && snap.Revision != revision {
		return snapshot.Snapshot{}, errors.Errorf("the entry host keeps only revision %d, the current one", snap.Revision)
	}
	return snap, nil
}

// differencesOf returns the differences between the documents of all teams.
func differencesOf(before, after snapshot.Snapshot) []difference.Difference {
	var differences []difference.Difference
	for _, doc := range before.Documents {
		differences = append(differences, difference.Between(doc, documentOf(after, doc.Team))...)
	}
	for _, doc := range after.Documents {
		if documentOf(before, doc.Team).Team == "" {
			differences = append(differences, difference.Between(document.Document{}, doc)...)
		}
	}
	return differences
}

// documentOf returns the document of a team, or an empty document if the team has none.
func documentOf(snap snapshot.Snapshot, team string) document.Document {
	i := slices.IndexFunc(snap.Documents, func(d document.Document) bool { return d.Team == team })
	if i < 0 {
		return document.Document{}
	}
	return snap.Documents[i]
}

func newDifferenceTable(differences []difference.Difference) [][]string {
	rows := [][]string{{"CLASS", "FIELD", "ACCEPTED", "IN_FILE"}}
	for _, d := range differences {
		rows = append(rows, []string{d.Class, d.Field, d.Old, d.New})
	}
	return rows
}
