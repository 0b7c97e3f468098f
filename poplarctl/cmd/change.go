package cmd

import (
	"context"
	"fmt"
	"net/url"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/lib/index"
	"poplarhook.example/poplarctl/modules/requester"
	"poplarhook.example/poplarctl/services/awaiter"
	"poplarhook.example/poplarctl/services/submitter"
)

// changeCommand is the common part of the subcommands that change configuration or availability zones.
type changeCommand struct {
	app  *app
	id   string
	wait bool
}

// changeResult is the JSON output of a change.
type changeResult struct {
	index.Change
	// Everywhere is true if all live entry hosts are known to run the change.
	Everywhere bool `json:"everywhere"`
}

func (c *changeCommand) addFlags(parsed *flaggy.Subcommand) {
	parsed.String(&c.id, "", "change-id", "id of the change; pass the same id again to retry a change whose outcome is unknown")
	parsed.Bool(&c.wait, "", "wait", "return when all live entry hosts run the change")
}

// submit sends the change until its outcome is known, waits for all live entry hosts to run it if the wait flag is set,
// and prints the result.
func (c *changeCommand) submit(ctx context.Context, request requester.Request) error {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	request.Path += "?change_id=" + url.QueryEscape(c.id)
	sender := c.app.newRequester()
	accepted, err := submitter.New(sender, c.app.clock).Submit(ctx, request)
	if err != nil {
		return errors.Wrapf(err, "change %s", c.id)
	}
	result := changeResult{Change: accepted}
	line := fmt.Sprintf("accepted: revision %d, %s (change %s)", accepted.Revision, accepted.Summary, accepted.ChangeID)
	if !c.wait {
		return c.app.newPrinter().Value(result, line)
	}
	waitErr := awaiter.New(sender).Wait(ctx, accepted.Revision)
	result.Everywhere = waitErr == nil
	if result.Everywhere {
		line += "\napplied: all live entry hosts run it"
	}
	if err := c.app.newPrinter().Value(result, line); err != nil {
		return err
	}
	return waitErr
}
