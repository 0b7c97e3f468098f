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

func newDump(s *app) subcommand {
	parsed := flaggy.NewSubcommand("dump")
	parsed.Description = "write the state of an entry process as JSON"
	var id string
	parsed.String(&id, "", "host", "id of the entry host, whose address is read from the status; default: the first entry host that answers")
	return subcommand{parsed: parsed, run: func(ctx context.Context) error {
		from := s.newRequester()
		if id != "" {
			address, err := s.findAdminAddress(ctx, id)
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

// findAdminAddress returns the address of the administration API of the entry host, read from the status.
func (s *app) findAdminAddress(ctx context.Context, id string) (string, error) {
	var current status.Status
	if _, err := s.newRequester().Read(ctx, "/v1/status", &current); err != nil {
		return "", err
	}
	i := slices.IndexFunc(current.Hosts, func(h status.Host) bool { return h.ID == id })
	if i < 0 || current.Hosts[i].AdminAddress == "" {
		return "", errors.Wrapf(ErrUsage, "--host %q: %s lists no such entry host with an admin address", id, current.HostID)
	}
	return current.Hosts[i].AdminAddress, nil
}
