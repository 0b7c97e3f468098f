package deployment

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid is returned if a setting has a value that is not allowed.
var ErrInvalid = errors.New("invalid setting")

// Deployment is the settings of one entry host: its location, addresses, resources and bounds.
type Deployment struct {
	HostID           string `json:"host_id"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	// Regions maps each availability zone to its region.
	Regions     map[string]string `json:"regions"`
	Address     string            `json:"address"`
	Listen      string            `json:"listen"`
	ReadyListen string            `json:"ready_listen"`
	// PeerListen is the address on which the host serves other entry hosts.
	PeerListen string `json:"peer_listen"`
	// Seeds are peer addresses of some entry hosts; they may be outdated, and their hosts may be down.
	Seeds []string `json:"seeds"`
	// AdminPorts are the first and the last port of the range reserved for the host's own use.
	AdminPorts   []int  `json:"admin_ports"`
	StoreAddress string `json:"store_address"`
	// HistoryS is how long the store keeps the history of changes, in seconds.
	HistoryS float64 `json:"history_s"`
	// Processor is the share of a processor core that the host has; Link is the bandwidth of its network link in
	// Mbit/s.
	Processor float64 `json:"processor"`
	Link      float64 `json:"link_mbps"`
	// MaxAnswerHead is how many bytes the head of an endpoint's answer may have, zero for the default.
	MaxAnswerHead int `json:"max_answer_head"`
	// MemoryMB is the memory of the host in megabytes, and MaxDescriptors the number of file descriptors that a process
	// may open; zero if they are not known.
	MemoryMB       float64 `json:"memory_mb,omitempty"`
	MaxDescriptors int     `json:"max_descriptors,omitempty"`

	Admission Admission `json:"admission,omitzero"`
	Bounds    Bounds    `json:"bounds"`
}

// Bounds are the guarantees of the deployment to its users.
type Bounds struct {
	// ConfigurationMS is the time within which a new configuration must be applied, in milliseconds.
	ConfigurationMS int64 `json:"configuration_ms"`
	// LeavingMS is the time after which a leaving endpoint must get no more requests, in milliseconds.
	LeavingMS int64 `json:"leaving_ms"`
	// ZoneOutMS is the time after which an availability zone that is taken out of service must get no more requests, in
	// milliseconds.
	ZoneOutMS int64 `json:"zone_out_ms"`
	// StopS is the time between the signal to stop the host and its forced kill, in seconds.
	StopS float64 `json:"stop_s"`
	// QuotaOverage and QuotaSlack bound the requests of a workspace beyond its quota within QuotaWindowS seconds, over all
	// hosts. Settings without them get the defaults.
	QuotaWindowS *float64 `json:"quota_window_s"`
	QuotaOverage *float64 `json:"quota_overage"`
	QuotaSlack   *float64 `json:"quota_slack"`
	// RetryShare and RetrySlack bound the repeated requests to a service within RetryWindowS seconds, over all hosts.
	RetryShare   float64 `json:"retry_share"`
	RetrySlack   float64 `json:"retry_slack"`
	RetryWindowS float64 `json:"retry_window_s"`
	// ColdSlack is how many requests above its declared rate a cold endpoint may get per second, over all hosts.
	ColdSlack float64 `json:"cold_slack"`
	// ProbesPerSecond is the maximum rate of health checks of one endpoint, over all hosts.
	ProbesPerSecond float64 `json:"probes_per_second"`
	// StrictRevoke says that no host may accept a key later than RevokeMS milliseconds after a configuration without it,
	// even if the host does not know that configuration.
	StrictRevoke bool  `json:"strict_revoke"`
	RevokeMS     int64 `json:"revoke_ms"`
	// ExposeShare and ExposeSlack bound the requests that a bad version of a service gets while an order to move to it
	// is carried out, as a share of the service's requests and a number of requests, over all hosts. Orders are ignored
	// if the share is zero.
	ExposeShare float64 `json:"expose_share"`
	ExposeSlack float64 `json:"expose_slack"`
	// RollbackMS is the time after the 50th bad response of a version from which it must get no more requests, in
	// milliseconds.
	RollbackMS int64 `json:"rollback_ms"`
}

// Read returns the settings in the file; the error for an invalid field names the field, its value and the allowed
// values.
func Read(path string) (Deployment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Deployment{}, errors.Wrapf(ErrInvalid, "settings file: %v", err)
	}
	return Parse(text)
}

// Parse returns the settings in the JSON text; it ignores unknown fields.
func Parse(text []byte) (Deployment, error) {
	d := Deployment{Admission: defaultAdmission()}
	err := json.Unmarshal(text, &d)
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return Deployment{}, newInvalidError(kind.Field, kind.Value, "a value of type "+kind.Type.String())
	}
	if err != nil {
		return Deployment{}, errors.Wrapf(ErrInvalid, "settings file is not valid JSON: %v", err)
	}
	return d, d.check()
}

func newInvalidError(field string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalid, "%s is %q: allowed is %s", field, fmt.Sprint(value), allowed)
}

func (d Deployment) check() error {
	for _, check := range []func() error{d.checkNames, d.checkAddresses, d.checkPorts, d.checkAnswerHead, d.checkResources, d.checkAdmission, d.checkBounds} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (d Deployment) checkNames() error {
	names := []struct{ field, value string }{
		{"host_id", d.HostID},
		{"region", d.Region},
		{"availability_zone", d.AvailabilityZone},
		{"address", d.Address},
	}
	for _, n := range names {
		if n.value == "" {
			return newInvalidError(n.field, n.value, "a non-empty string")
		}
	}
	return nil
}

func (d Deployment) checkAddresses() error {
	addresses := []struct{ field, value string }{
		{"listen", d.Listen},
		{"ready_listen", d.ReadyListen},
		{"peer_listen", d.PeerListen},
		{"store_address", d.StoreAddress},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return newInvalidError(a.field, a.value, "host:port")
		}
	}
	return nil
}

const maxPort = 65535

func (d Deployment) checkPorts() error {
	if len(d.AdminPorts) != 2 || d.AdminPorts[0] < 1 || d.AdminPorts[1] <= d.AdminPorts[0] || d.AdminPorts[1] > maxPort {
		return newInvalidError("admin_ports", d.AdminPorts, "two ports from 1 to 65535, the second above the first")
	}
	return nil
}

const (
	minAnswerHead     = 1 << 10
	defaultAnswerHead = 64 << 10
	maxAnswerHead     = 1 << 20
)

func (d Deployment) checkAnswerHead() error {
	if d.MaxAnswerHead != 0 && (d.MaxAnswerHead < minAnswerHead || d.MaxAnswerHead > maxAnswerHead) {
		return newInvalidError("max_answer_head", d.MaxAnswerHead, fmt.Sprintf("%d to %d bytes, or 0 for %d", minAnswerHead, maxAnswerHead, defaultAnswerHead))
	}
	return nil
}

// AnswerHeadLimit returns how many bytes the head of an endpoint's answer may have.
func (d Deployment) AnswerHeadLimit() int {
	if d.MaxAnswerHead == 0 {
		return defaultAnswerHead
	}
	return d.MaxAnswerHead
}

func (d Deployment) checkBounds() error {
	bounds := []struct {
		field string
		value float64
	}{
		{"history_s", d.HistoryS},
		{"bounds.configuration_ms", float64(d.Bounds.ConfigurationMS)},
		{"bounds.leaving_ms", float64(d.Bounds.LeavingMS)},
		{"bounds.zone_out_ms", float64(d.Bounds.ZoneOutMS)},
		{"bounds.stop_s", d.Bounds.StopS},
		{"bounds.retry_window_s", d.Bounds.RetryWindowS},
	}
	for _, b := range bounds {
		if b.value <= 0 {
			return newInvalidError(b.field, b.value, "a number above zero")
		}
	}
	if d.Bounds.StrictRevoke && d.Bounds.RevokeMS <= 0 {
		return newInvalidError("bounds.revoke_ms", d.Bounds.RevokeMS, "a number above zero where bounds.strict_revoke is true")
	}
	return d.checkNonNegative()
}

// checkNonNegative checks the numbers that may be zero.
func (d Deployment) checkNonNegative() error {
	numbers := []struct {
		field string
		value float64
	}{
		{"processor", d.Processor},
		{"link_mbps", d.Link},
		{"bounds.retry_share", d.Bounds.RetryShare},
		{"bounds.retry_slack", d.Bounds.RetrySlack},
		{"bounds.cold_slack", d.Bounds.ColdSlack},
		{"bounds.probes_per_second", d.Bounds.ProbesPerSecond},
		{"bounds.revoke_ms", float64(d.Bounds.RevokeMS)},
		{"bounds.expose_share", d.Bounds.ExposeShare},
		{"bounds.expose_slack", d.Bounds.ExposeSlack},
		{"bounds.rollback_ms", float64(d.Bounds.RollbackMS)},
	}
	for _, n := range numbers {
		if n.value < 0 {
			return newInvalidError(n.field, n.value, "a number that is zero or above")
		}
	}
	return d.checkQuotaBounds()
}

// AdminAddress returns the address on which the host serves operators.
func (d Deployment) AdminAddress() string {
	return net.JoinHostPort(d.Address, fmt.Sprint(d.AdminPorts[0]))
}

// Capacity returns the capacity of the host relative to other hosts: the geometric mean of Processor and Link,
// since requests need both.
func (d Deployment) Capacity() float64 {
	return math.Sqrt(max(d.Processor, 0) * max(d.Link, 0))
}

// RegionOf returns the region of the availability zone, and false if the zone is unknown.
func (d Deployment) RegionOf(zone string) (string, bool) {
	region, known := d.Regions[zone]
	return region, known
}

// StopTimeout returns how long a planned stop may take.
func (b Bounds) StopTimeout() time.Duration {
	return time.Duration(b.StopS * float64(time.Second))
}

// HistoryRetention returns how long the store keeps the history of changes.
func (d Deployment) HistoryRetention() time.Duration {
	return time.Duration(d.HistoryS * float64(time.Second))
}

// ChangeTimeout returns the time within which a change of any kind must be applied: the smallest bound on changes.
func (b Bounds) ChangeTimeout() time.Duration {
	return time.Duration(min(b.ConfigurationMS, b.LeavingMS, b.ZoneOutMS)) * time.Millisecond
}

// LeavingTimeout returns the time after which a leaving endpoint must get no more requests.
func (b Bounds) LeavingTimeout() time.Duration {
	return time.Duration(b.LeavingMS) * time.Millisecond
}

// HasRollouts reports whether orders to move services to other versions are carried out.
func (b Bounds) HasRollouts() bool {
	return b.ExposeShare > 0
}

// defaultRollback applies where orders are carried out and no bound is set.
const defaultRollback = 5 * time.Second

// RollbackTimeout returns the time after the 50th bad response of a version from which it must get no more requests.
func (b Bounds) RollbackTimeout() time.Duration {
	if b.RollbackMS <= 0 {
		return defaultRollback
	}
	return time.Duration(b.RollbackMS) * time.Millisecond
}

// ConfigurationTimeout returns the time within which a change of the configuration must be applied.
func (b Bounds) ConfigurationTimeout() time.Duration {
	return time.Duration(b.ConfigurationMS) * time.Millisecond
}

// RetryWindow returns the time over which repeated requests are counted.
func (b Bounds) RetryWindow() time.Duration {
	return time.Duration(b.RetryWindowS * float64(time.Second))
}

// RevokeTimeout returns the time after which a key must not be accepted that the newest configuration does not contain,
// zero if there is no such bound.
func (b Bounds) RevokeTimeout() time.Duration {
	if !b.StrictRevoke {
		return 0
	}
	return time.Duration(b.RevokeMS) * time.Millisecond
}
