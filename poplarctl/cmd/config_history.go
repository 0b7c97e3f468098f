package cmd

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"poplarhook.example/lib/index"
)

func newConfigHistory(s *app) subcommand {
	parsed := flaggy.NewSubcommand("history")
	parsed.Description = "list the accepted changes, newest first"
	var id string
	parsed.String(&id, "", "change-id", "show only this change; an error if it is not in the history")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		if id != "" {
			var found index.Change
			if _, err := s.newRequester().Read(ctx, "/v1/changes/"+url.PathEscape(id), &found); err != nil {
				return err
			}
			return s.newPrinter().Value(found, "", newChangeTable(found)...)
		}
		var changes []index.Change
		if _, err := s.newRequester().Read(ctx, "/v1/changes", &changes); err != nil {
			return err
		}
		return s.newPrinter().Value(changes, "", newChangeTable(changes...)...)
	}}
}

func newChangeTable(changes ...index.Change) [][]string {
	rows := [][]string{{"REVISION", "AT", "AUTHOR", "CHANGE_ID", "SUMMARY"}}
	for _, c := range changes {
		rows = append(rows, []string{
			strconv.FormatInt(c.Revision, 10), c.At.UTC().Format(time.RFC3339), c.Author, c.ChangeID, c.Summary,
		})
	}
	return rows
}
