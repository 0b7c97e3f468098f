package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
)

// RelaysName is the name of the process that relays between regions.
const RelaysName = "relays"

// WithDistance sets what bytes take one way between regions, in whole milliseconds; none by default.
//
// The platform stands in the region of the first availability zone. The entry hosts of each region read a host list
// of their own, in which the hosts of other regions stand behind relays.
func WithDistance(oneWay time.Duration) Option {
	return func(f *Fleet) { f.distance = oneWay }
}

// relaysReady is the ready line of the process that relays to many targets.
type relaysReady struct {
	Ready   bool   `json:"ready"`
	Control string `json:"control"`
}

// wantedRelay names the target of a relay.
type wantedRelay struct {
	Target string `json:"target"`
}

// openedRelay tells the address that leads to the target.
type openedRelay struct {
	Address string `json:"address"`
}

// startDistance starts the relays and the host list of each region.
func (f *Fleet) startDistance(ctx context.Context) error {
	if f.distance <= 0 {
		return nil
	}
	p, err := f.launch(RelaysName, "standin", nil, "relays", "--delay-ms", fmt.Sprint(f.distance.Milliseconds()))
	if err != nil {
		return err
	}
	var ready relaysReady
	if err := p.Ready(ctx, &ready); err != nil {
		return err
	}
	f.relays = ready.Control
	f.lists = make(map[string]string)
	for _, zone := range f.deployment.Zones {
		if f.lists[zone.Region] != "" {
			continue
		}
		address, err := f.launchPlatform(ctx, "hosts-of-"+zone.Region)
		if err != nil {
			return err
		}
		f.lists[zone.Region] = address
	}
	return nil
}

// ListURLOf returns the base URL of the host list that the entry hosts of a region are given.
func (f *Fleet) ListURLOf(region string) string {
	return "http://" + f.listOf(region)
}

func (f *Fleet) listOf(region string) string {
	if address, own := f.lists[region]; own {
		return address
	}
	return f.platform
}

// listURLs returns the base URLs of all host lists.
func (f *Fleet) listURLs() []string {
	urls := []string{f.PlatformURL()}
	for _, address := range f.lists {
		urls = append(urls, "http://"+address)
	}
	return urls
}

// putIntoLists adds a host to the host list of each region, as it is reached from there.
func (f *Fleet) putIntoLists(ctx context.Context, h host.Host) error {
	for region, list := range f.lists {
		seen, err := f.seenFrom(ctx, region, h)
		if err != nil {
			return err
		}
		if err := f.PutHostInto(ctx, "http://"+list, seen); err != nil {
			return err
		}
	}
	return nil
}

// seenFrom returns the host with the addresses at which the entry hosts of a region reach it.
func (f *Fleet) seenFrom(ctx context.Context, region string, h host.Host) (host.Host, error) {
	var err error
	switch {
	case h.Region == region:
	case h.Role == host.RoleEndpoint:
		h.Address, err = f.across(ctx, h.Address)
	default:
		h.PeerAddress, err = f.across(ctx, h.PeerAddress)
	}
	return h, err
}

// platformFrom returns the URL at which a region reaches an address of the platform.
func (f *Fleet) platformFrom(ctx context.Context, region, address string) (string, error) {
	if len(f.lists) == 0 || region == f.deployment.Zones[0].Region {
		return "http://" + address, nil
	}
	relayed, err := f.across(ctx, address)
	return "http://" + relayed, err
}

// across returns the address that leads to the target from another region.
func (f *Fleet) across(ctx context.Context, target string) (string, error) {
	wanted, err := json.Marshal(wantedRelay{Target: target})
	if err != nil {
		return "", errors.Wrapf(err, "relay to %s", target)
	}
	text, err := call(ctx, http.MethodPost, "http://"+f.relays+"/standin/relays", wanted)
	if err != nil {
		return "", err
	}
	var opened openedRelay
	err = json.Unmarshal(text, &opened)
	return opened.Address, errors.Wrapf(err, "relay to %s", target)
}
