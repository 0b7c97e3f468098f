package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"poplarhook.example/poplarctl/modules/requester"
)

// checked is the answer of a check as JSON.
type checked struct {
	Team    string `json:"team"`
	Classes int    `json:"classes"`
	Live    bool   `json:"live"`
}

func newConfigCheck(s *shared) subcommand {
	parsed := flaggy.NewSubcommand("check")
	parsed.Description = "check a document and change nothing"
	var file string
	var live bool
	parsed.AddPositionalValue(&file, "FILE", 1, true, "document in YAML or JSON, - for standard input")
	parsed.Bool(&live, "", "live", "check it also beside the live configuration of all teams")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		doc, text, err := s.readDocument(file)
		if err != nil {
			return err
		}
		if live {
			request := requester.Request{Method: http.MethodPut, Path: documentPath(doc.Team) + "?dry_run=true", Body: text}
			if err := s.tryEach(ctx, request); err != nil {
				return err
			}
		}
		line := fmt.Sprintf("valid: document of %s with %d classes", doc.Team, len(doc.Classes))
		return s.printer().Value(checked{Team: doc.Team, Classes: len(doc.Classes), Live: live}, line)
	}}
}

// tryEach sends a request that changes nothing to the entry hosts until one answers.
func (s *shared) tryEach(ctx context.Context, request requester.Request) error {
	r := s.requester()
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
