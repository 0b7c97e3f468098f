package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/lib/status"
	"poplarhook.example/poplarctl/modules/requester"
)

func newDump(s *shared) subcommand {
	parsed := flaggy.NewSubcommand("dump")
	parsed.Description = "write the state of an entry process as JSON"
	var id string
	parsed.String(&id, "", "host", "id of the entry host, by the address in the status; unset is the first that answers")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		from := s.requester()
		if id != "" {
			address, err := s.adminOf(ctx, id)
			if err != nil {
				return err
			}
			from = requester.New([]string{"http://" + address}, s.Token, s.clock)
		}
		var state json.RawMessage
		if _, err := from.Read(ctx, "/debug/state", &state); err != nil {
			return err
		}
		var indented bytes.Buffer
		if err := json.Indent(&indented, state, "", "  "); err != nil {
			return errors.Wrap(err, "state dump")
		}
		indented.WriteByte('\n')
		_, err := s.out.Write(indented.Bytes())
		return errors.Wrap(err, "writing the dump")
	}}
}

func (s *shared) adminOf(ctx context.Context, id string) (string, error) {
	var seen status.Status
	if _, err := s.requester().Read(ctx, "/v1/status", &seen); err != nil {
		return "", err
	}
	at := slices.IndexFunc(seen.Hosts, func(h status.Host) bool { return h.ID == id })
	if at < 0 || seen.Hosts[at].AdminAddress == "" {
		return "", errors.Wrapf(ErrUsage, "--host %q: %s knows no such entry host with an address", id, seen.HostID)
	}
	return seen.Hosts[at].AdminAddress, nil
}
