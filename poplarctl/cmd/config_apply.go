package cmd

import (
	"context"
	"net/http"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarctl/modules/requester"
)

// unsetBase stands for a base that the command line does not give.
const unsetBase = -1

func newConfigApply(s *shared) subcommand {
	parsed := flaggy.NewSubcommand("apply")
	parsed.Description = "put a team's whole document in force"
	var file string
	base := int64(unsetBase)
	c := change{shared: s}
	parsed.AddPositionalValue(&file, "FILE", 1, true, "document in YAML or JSON, - for standard input")
	parsed.Int64(&base, "", "base", "revision that the document was made against; unset is the one now in force")
	c.addFlags(parsed)
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		doc, text, err := s.readDocument(file)
		if err != nil {
			return err
		}
		if c.id != "" && base == unsetBase {
			return errors.Wrap(ErrUsage, "--change-id needs --base, so that it is the same change as before")
		}
		if base == unsetBase {
			if base, err = s.revision(ctx); err != nil {
				return errors.Wrap(err, "not accepted, as the revision in force could not be read")
			}
		}
		return c.settle(ctx, requester.Request{Method: http.MethodPut, Path: documentPath(doc.Team), Body: text, Base: &base})
	}}
}

// revision returns the revision of the accepted configuration.
func (s *shared) revision(ctx context.Context) (int64, error) {
	var snap snapshot.Snapshot
	_, err := s.requester().Read(ctx, "/v1/config", &snap)
	return snap.Revision, err
}
