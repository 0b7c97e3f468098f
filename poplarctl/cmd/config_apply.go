package cmd

import (
	"context"
	"net/http"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarctl/modules/requester"
)

// unsetBaseRevision is the base revision if the command line does not set one.
const unsetBaseRevision = -1

func newConfigApply(s *app) subcommand {
	parsed := flaggy.NewSubcommand("apply")
	parsed.Description = "apply a team's complete document"
	var file string
	base := int64(unsetBaseRevision)
	c := changeCommand{app: s}
	parsed.AddPositionalValue(&file, "FILE", 1, true, "document in YAML or JSON, - for standard input")
	parsed.Int64(&base, "", "base", "revision that the document is based on; default: the current one")
	c.addFlags(parsed)
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		doc, text, err := s.readDocument(file)
		if err != nil {
			return err
		}
		if c.id != "" && base == unsetBaseRevision {
			return errors.Wrap(ErrUsage, "--change-id requires --base, so that the retried change is the same as before")
		}
		if base == unsetBaseRevision {
			if base, err = s.readCurrentRevision(ctx); err != nil {
				return errors.Wrap(err, "not accepted, as the revision in force could not be read")
			}
		}
		return c.submit(ctx, requester.Request{Method: http.MethodPut, Path: documentPath(doc.Team), Body: text, BaseRevision: &base})
	}}
}

// readCurrentRevision returns the revision of the accepted configuration.
func (s *app) readCurrentRevision(ctx context.Context) (int64, error) {
	var snap snapshot.Snapshot
	_, err := s.newRequester().Read(ctx, "/v1/config", &snap)
	return snap.Revision, err
}
