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
	"poplarhook.example/poplarctl/services/settler"
)

// change is what the subcommands that change something have in common.
type change struct {
	shared *shared
	id     string
	wait   bool
}

// outcome is the answer of a change as JSON.
type outcome struct {
	index.Change
	// Everywhere says that all live entry hosts run the change.
	Everywhere bool `json:"everywhere"`
}

func (c *change) addFlags(parsed *flaggy.Subcommand) {
	parsed.String(&c.id, "", "change-id", "id of the change, to ask again for one whose outcome is unknown")
	parsed.Bool(&c.wait, "", "wait", "return when all live entry hosts run the change")
}

// settle gets the change to a known outcome, prints it and waits if asked to.
func (c *change) settle(ctx context.Context, request requester.Request) error {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	request.Path += "?change_id=" + url.QueryEscape(c.id)
	sender := c.shared.requester()
	accepted, err := settler.New(sender, c.shared.clock).Settle(ctx, request)
	if err != nil {
		return errors.Wrapf(err, "change %s", c.id)
	}
	result := outcome{Change: accepted}
	line := fmt.Sprintf("accepted: revision %d, %s (change %s)", accepted.Revision, accepted.Summary, accepted.ChangeID)
	if !c.wait {
		return c.shared.printer().Value(result, line)
	}
	waitErr := awaiter.New(sender).Wait(ctx, accepted.Revision)
	result.Everywhere = waitErr == nil
	if result.Everywhere {
		line += "\nin force: all live entry hosts run it"
	}
	if err := c.shared.printer().Value(result, line); err != nil {
		return err
	}
	return waitErr
}
