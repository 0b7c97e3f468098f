package cmd

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"poplarhook.example/lib/index"
)

func newConfigHistory(s *shared) subcommand {
	parsed := flaggy.NewSubcommand("history")
	parsed.Description = "list the accepted changes, newest first"
	var id string
	parsed.String(&id, "", "change-id", "only this change; refused if it is not in the history")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		if id != "" {
			var one index.Change
			if _, err := s.requester().Read(ctx, "/v1/changes/"+url.PathEscape(id), &one); err != nil {
				return err
			}
			return s.printer().Value(one, "", changeTable(one)...)
		}
		var list []index.Change
		if _, err := s.requester().Read(ctx, "/v1/changes", &list); err != nil {
			return err
		}
		return s.printer().Value(list, "", changeTable(list...)...)
	}}
}

func changeTable(list ...index.Change) [][]string {
	rows := [][]string{{"REVISION", "AT", "AUTHOR", "CHANGE_ID", "SUMMARY"}}
	for _, c := range list {
		rows = append(rows, []string{
			strconv.FormatInt(c.Revision, 10), c.At.UTC().Format(time.RFC3339), c.Author, c.ChangeID, c.Summary,
		})
	}
	return rows
}
