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

// RelaysName is the name of the process that relays connections between regions.
const RelaysName = "relays"

// WithRegionDelay sets the one-way network delay between regions, in whole milliseconds; the default is no delay.
//
// The platform is in the region of the first availability zone. The entry hosts of each region read a separate host
// list, in which the hosts of other regions have the addresses of relays that add the delay.
func WithRegionDelay(oneWay time.Duration) Option {
	return func(f *Fleet) { f.regionDelay = oneWay }
}

// relaysReadyLine is the ready line of the relays process, which has one relay for each target.
type relaysReadyLine struct {
	Ready   bool   `json:"ready"`
	Control string `json:"control"`
}

// relayRequest asks the relays process for a relay to a target.
type relayRequest struct {
	Target string `json:"target"`
}

// relayResponse contains the address of the relay to the target.
type relayResponse struct {
	Address string `json:"address"`
}

// startRegionRelays starts the relays process and the host list of each region, if there is a delay between regions.
func (f *Fleet) startRegionRelays(ctx context.Context) error {
	if f.regionDelay <= 0 {
		return nil
	}
	p, err := f.startProcess(RelaysName, "standin", nil, "relays", "--delay-ms", fmt.Sprint(f.regionDelay.Milliseconds()))
	if err != nil {
		return err
	}
	var ready relaysReadyLine
	if err := p.Ready(ctx, &ready); err != nil {
		return err
	}
	f.relaysControlAddress = ready.Control
	f.hostListAddresses = make(map[string]string)
	for _, zone := range f.deployment.Zones {
		if f.hostListAddresses[zone.Region] != "" {
			continue
		}
		address, err := f.startPlatformProcess(ctx, "hosts-of-"+zone.Region)
		if err != nil {
			return err
		}
		f.hostListAddresses[zone.Region] = address
	}
	return nil
}

// HostListURLFor returns the base URL of the host list for the entry hosts of a region, without a relay.
func (f *Fleet) HostListURLFor(region string) string {
	return "http://" + f.hostListAddress(region)
}

func (f *Fleet) hostListAddress(region string) string {
	if address, own := f.hostListAddresses[region]; own {
		return address
	}
	return f.platformAddress
}

// hostListURLs returns the base URLs of the platform's host list and the host lists of the regions.
func (f *Fleet) hostListURLs() []string {
	urls := []string{f.PlatformURL()}
	for _, address := range f.hostListAddresses {
		urls = append(urls, "http://"+address)
	}
	return urls
}

// putIntoRegionLists adds a host to the host list of each region, with the addresses at which that region reaches it.
func (f *Fleet) putIntoRegionLists(ctx context.Context, h host.Host) error {
	for region, list := range f.hostListAddresses {
		reachable, err := f.hostAsReachedFrom(ctx, region, h)
		if err != nil {
			return err
		}
		if err := f.PutHostIntoList(ctx, "http://"+list, reachable); err != nil {
			return err
		}
	}
	return nil
}

// hostAsReachedFrom returns the host with the addresses at which the entry hosts of a region reach it: its own, or
// those of relays if the host is in another region.
func (f *Fleet) hostAsReachedFrom(ctx context.Context, region string, h host.Host) (host.Host, error) {
	var err error
	switch {
	case h.Region == region:
	case h.Role == host.RoleEndpoint:
		h.Address, err = f.requestRelayTo(ctx, h.Address)
	default:
		h.PeerAddress, err = f.requestRelayTo(ctx, h.PeerAddress)
	}
	return h, err
}

// platformURLFrom returns the URL at which the entry hosts of a region reach an address of the platform.
func (f *Fleet) platformURLFrom(ctx context.Context, region, address string) (string, error) {
	if len(f.hostListAddresses) == 0 || region == f.deployment.Zones[0].Region {
		return "http://" + address, nil
	}
	relayed, err := f.requestRelayTo(ctx, address)
	return "http://" + relayed, err
}

// requestRelayTo asks the relays process for a relay to the target, which is in another region, and returns the relay's
// address.
func (f *Fleet) requestRelayTo(ctx context.Context, target string) (string, error) {
	body, err := json.Marshal(relayRequest{Target: target})
	if err != nil {
		return "", errors.Wrapf(err, "relay to %s", target)
	}
	text, err := sendRequest(ctx, http.MethodPost, "http://"+f.relaysControlAddress+"/standin/relays", body)
	if err != nil {
		return "", err
	}
	var relay relayResponse
	err = json.Unmarshal(text, &relay)
	return relay.Address, errors.Wrapf(err, "relay to %s", target)
}
