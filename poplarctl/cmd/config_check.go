package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"poplarhook.example/poplarctl/modules/requester"
)

// checkResult is the JSON output of a check.
type checkResult struct {
	Team    string `json:"team"`
	Classes int    `json:"classes"`
	Live    bool   `json:"live"`
}

func newConfigCheck(s *app) subcommand {
	parsed := flaggy.NewSubcommand("check")
	parsed.Description = "validate a document without applying it"
	var file string
	var live bool
	parsed.AddPositionalValue(&file, "FILE", 1, true, "document in YAML or JSON, - for standard input")
	parsed.Bool(&live, "", "live", "also check it against the current configuration of all teams")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		doc, text, err := s.readDocument(file)
		if err != nil {
			return err
		}
		if live {
			request := requester.Request{Method: http.MethodPut, Path: documentPath(doc.Team) + "?dry_run=true", Body: text}
			if err := s.sendToFirstAvailable(ctx, request); err != nil {
				return err
			}
		}
		line := fmt.Sprintf("valid: document of %s with %d classes", doc.Team, len(doc.Classes))
		return s.newPrinter().Value(checkResult{Team: doc.Team, Classes: len(doc.Classes), Live: live}, line)
	}}
}

// sendToFirstAvailable sends a read-only request to the entry hosts in turn until one accepts or refuses it.
func (s *app) sendToFirstAvailable(ctx context.Context, request requester.Request) error {
	r := s.newRequester()
	err := requester.ErrNoAdmin
	for _, admin := range r.Admins() {
		_, err = r.Send(ctx, admin, request, nil)
		if err == nil || requester.IsRefusal(err) {
			return err
		}
	}
	return err
}

func documentPath(team string) string {
	return "/v1/teams/" + url.PathEscape(team) + "/document"
}
