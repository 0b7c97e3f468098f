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

// versions is the answer of a comparison of two revisions as JSON.
type versions struct {
	From        int64                   `json:"from"`
	To          int64                   `json:"to"`
	Differences []difference.Difference `json:"differences"`
}

// comparison is the answer of a comparison as JSON.
type comparison struct {
	Team        string                  `json:"team"`
	Revision    int64                   `json:"revision"`
	Differences []difference.Difference `json:"differences"`
}

func newConfigDiff(s *shared) subcommand {
	parsed := flaggy.NewSubcommand("diff")
	parsed.Description = "compare a document with the team's accepted one, or two revisions of the configuration"
	var file string
	var from, to int64
	parsed.AddPositionalValue(&file, "FILE", 1, false, "document in YAML or JSON, - for standard input")
	parsed.Int64(&from, "", "from", "revision to compare with another one; an entry host keeps the last few, see config history")
	parsed.Int64(&to, "", "to", "the other revision; unset is the one in force")
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
		if _, err := s.requester().Read(ctx, "/v1/config", &snap); err != nil {
			return err
		}
		found := comparison{Team: doc.Team, Revision: snap.Revision, Differences: difference.Between(documentOf(snap, doc.Team), doc)}
		line := fmt.Sprintf("%d differences from revision %d for team %s", len(found.Differences), snap.Revision, doc.Team)
		return s.printer().Value(found, line, differenceTable(found.Differences)...)
	}}
}

// compareRevisions compares two revisions that the entry host keeps.
func (s *shared) compareRevisions(ctx context.Context, from, to int64) error {
	before, err := s.configurationAt(ctx, from)
	if err != nil {
		return err
	}
	after, err := s.configurationAt(ctx, to)
	if err != nil {
		return err
	}
	found := versions{From: before.Revision, To: after.Revision, Differences: differencesOf(before, after)}
	line := fmt.Sprintf("%d differences from revision %d to %d", len(found.Differences), found.From, found.To)
	rows := differenceTable(found.Differences)
	rows[0] = []string{"CLASS", "FIELD", "FROM", "TO"}
	return s.printer().Value(found, line, rows...)
}

// configurationAt returns the configuration at the revision, that in force for zero.
func (s *shared) configurationAt(ctx context.Context, revision int64) (snapshot.Snapshot, error) {
	path := "/v1/config"
	if revision != 0 {
		path += "?revision=" + strconv.FormatInt(revision, 10)
	}
	var snap snapshot.Snapshot
	if _, err := s.requester().Read(ctx, path, &snap); err != nil {
		return snapshot.Snapshot{}, err
	}
	if revision != 0 && snap.Revision != revision {
		return snapshot.Snapshot{}, errors.Errorf("the entry host keeps no revision but %d, which is in force", snap.Revision)
	}
	return snap, nil
}

// differencesOf compares the documents of all teams.
func differencesOf(before, after snapshot.Snapshot) []difference.Difference {
	var list []difference.Difference
	for _, doc := range before.Documents {
		list = append(list, difference.Between(doc, documentOf(after, doc.Team))...)
	}
	for _, doc := range after.Documents {
		if documentOf(before, doc.Team).Team == "" {
			list = append(list, difference.Between(document.Document{}, doc)...)
		}
	}
	return list
}

// documentOf returns the document of a team, an empty one if it has none.
func documentOf(snap snapshot.Snapshot, team string) document.Document {
	at := slices.IndexFunc(snap.Documents, func(d document.Document) bool { return d.Team == team })
	if at < 0 {
		return document.Document{}
	}
	return snap.Documents[at]
}

func differenceTable(list []difference.Difference) [][]string {
	rows := [][]string{{"CLASS", "FIELD", "ACCEPTED", "IN_FILE"}}
	for _, d := range list {
		rows = append(rows, []string{d.Class, d.Field, d.Old, d.New})
	}
	return rows
}
