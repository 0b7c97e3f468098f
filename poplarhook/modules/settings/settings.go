package settings

import (
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/pkg/errors"
)

// ErrInvalid is the error of a setting that has an invalid value.
var ErrInvalid = errors.New("invalid setting")

// Policies for binding requests to endpoints.
const (
	PolicyOwner      = "owner"
	PolicyTwoChoices = "two_choices"
	PolicyRandom     = "random"
)

// Settings holds all settings of one entry process.
type Settings struct {
	HostID           string `env:"HOST_ID" flag:"host-id" unit:"" help:"id of this host, unique among the entry hosts"`
	Region           string `env:"REGION" flag:"region" unit:"" help:"region this host stands in"`
	AvailabilityZone string `env:"AVAILABILITY_ZONE" flag:"availability-zone" unit:"" help:"availability zone this host stands in"`
	Listen           string `env:"LISTEN" envDefault:"127.0.0.1:8080" flag:"listen" unit:"host:port" help:"address for callers"`
	PeerListen       string `env:"PEER_LISTEN" envDefault:"127.0.0.1:8081" flag:"peer-listen" unit:"host:port" help:"address for other entry hosts"`
	AdminListen      string `env:"ADMIN_LISTEN" envDefault:"127.0.0.1:8082" flag:"admin-listen" unit:"host:port" help:"address for operators"`
	StoreURL         string `env:"STORE_URL" flag:"store-url" unit:"URL" help:"the platform's object store"`
	HostListURL      string `env:"HOST_LIST_URL" flag:"host-list-url" unit:"URL" help:"the platform's host list"`
	Policy           string `env:"POLICY" envDefault:"owner" flag:"policy" unit:"" help:"owner, two_choices or random"`
	AdminTokens      string `env:"ADMIN_TOKENS" flag:"admin-tokens" unit:"team:token,..." help:"bearer tokens of the administration API" secret:"true"`
	LogLevel         string `env:"LOG_LEVEL" envDefault:"info" flag:"log-level" unit:"" help:"debug, info, warn or error"`

	ControlBudget     int           `env:"CONTROL_BUDGET" envDefault:"65536" flag:"control-budget" unit:"bytes/s" help:"most that this host sends for control"`
	HoldMax           time.Duration `env:"HOLD_MAX" envDefault:"5s" flag:"hold-max" unit:"duration" help:"longest time an idle credit is kept"`
	HedgeShare        float64       `env:"HEDGE_SHARE" envDefault:"0.1" flag:"hedge-share" unit:"share" help:"most hedges per recent idempotent request"`
	RetryShare        float64       `env:"RETRY_SHARE" envDefault:"0.1" flag:"retry-share" unit:"share" help:"most retries per recent idempotent request"`
	MaxBody           int64         `env:"MAX_BODY" envDefault:"1048576" flag:"max-body" unit:"bytes" help:"largest body of a request"`
	MaxAnswerHead     int           `env:"MAX_ANSWER_HEAD" envDefault:"65536" flag:"max-answer-head" unit:"bytes" help:"largest head of an endpoint's answer"`
	MaxHeader         int           `env:"MAX_HEADER" envDefault:"32768" flag:"max-header" unit:"bytes" help:"largest head of a request"`
	ReadTimeout       time.Duration `env:"READ_TIMEOUT" envDefault:"10s" flag:"read-timeout" unit:"duration" help:"longest time a caller may take to send a request"`
	IdleTimeout       time.Duration `env:"IDLE_TIMEOUT" envDefault:"60s" flag:"idle-timeout" unit:"duration" help:"longest time a caller's connection may be idle"`
	ProofAge          time.Duration `env:"PROOF_AGE" envDefault:"250ms" flag:"proof-age" unit:"duration" help:"once-only work uses a connection only if it answered within this time"`
	ReuseAge          time.Duration `env:"REUSE_AGE" envDefault:"10s" flag:"reuse-age" unit:"duration" help:"other work uses a connection only if it answered within this time"`
	DrainNotice       time.Duration `env:"DRAIN_NOTICE" envDefault:"2s" flag:"drain-notice" unit:"duration" help:"time between looking unready and closing to callers at a planned stop"`
	DrainLimit        time.Duration `env:"DRAIN_LIMIT" envDefault:"30s" flag:"drain-limit" unit:"duration" help:"longest time a planned stop waits for running requests"`
	OwnerTimeout      time.Duration `env:"OWNER_TIMEOUT" envDefault:"25ms" flag:"owner-timeout" unit:"duration" help:"wait for a silent owner before the host binds alone"`
	ColdShards        int           `env:"COLD_SHARDS" envDefault:"8" flag:"cold-shards" unit:"shards/region" help:"leases for cold work in each region"`
	LeaseTTL          time.Duration `env:"LEASE_TTL" envDefault:"3s" flag:"lease-ttl" unit:"duration" help:"term of a lease for cold work"`
	ColdDeadline      time.Duration `env:"COLD_DEADLINE" envDefault:"1s" flag:"cold-deadline" unit:"duration" help:"longest time a cold endpoint is given for one request"`
	StoreTimeout      time.Duration `env:"STORE_TIMEOUT" envDefault:"2s" flag:"store-timeout" unit:"duration" help:"longest time a call to the store may take"`
	WatchWait         time.Duration `env:"WATCH_WAIT" envDefault:"20s" flag:"watch-wait" unit:"duration" help:"longest time one watch waits for a change"`
	PeerCA            string        `env:"PEER_CA" flag:"peer-ca" unit:"file or PEM" help:"authority that signs the peers' certificates; none turns TLS off" secret:"true"`
	PeerCertificate   string        `env:"PEER_CERTIFICATE" flag:"peer-certificate" unit:"file or PEM" help:"this host's certificate towards peers" secret:"true"`
	PeerKey           string        `env:"PEER_KEY" flag:"peer-key" unit:"file or PEM" help:"key of this host's certificate" secret:"true"`
	ProbeInterval     time.Duration `env:"PROBE_INTERVAL" envDefault:"1s" flag:"probe-interval" unit:"duration" help:"time between health probes of an endpoint that gets no work"`
	HeartbeatInterval time.Duration `env:"HEARTBEAT_INTERVAL" envDefault:"250ms" flag:"heartbeat-interval" unit:"duration" help:"time between heartbeats to peers in the region"`
	HeartbeatTimeout  time.Duration `env:"HEARTBEAT_TIMEOUT" envDefault:"1s" flag:"heartbeat-timeout" unit:"duration" help:"silence after which a peer counts as dead"`
	MaxRequests       int           `env:"MAX_REQUESTS" envDefault:"4096" flag:"max-requests" unit:"requests" help:"most requests under way on this host at once"`
}

// Prefix starts the name of each environment variable of the entry process.
const Prefix = "POPLARHOOK_"

// FileVariable is the environment variable with the path of the settings file of the gateway subcommand.
const FileVariable = Prefix + "SETTINGS"

// FromEnvironment returns the defaults, overridden by the environment variables that are set.
//
// It returns an error for a variable that starts with Prefix but belongs to no setting.
func FromEnvironment() (Settings, error) {
	if err := checkVariables(os.Environ()); err != nil {
		return Settings{}, err
	}
	var s Settings
	err := env.ParseWithOptions(&s, env.Options{Prefix: Prefix})
	var parse env.ParseError
	if errors.As(err, &parse) {
		return Settings{}, newInvalidError(variableNameOf(parse.Name), os.Getenv(variableNameOf(parse.Name)), "a value of type "+parse.Type.String())
	}
	if err != nil {
		return Settings{}, errors.Wrapf(ErrInvalid, "environment: %v", err)
	}
	return s, nil
}

func checkVariables(environment []string) error {
	known := map[string]bool{FileVariable: true}
	for _, setting := range List() {
		known[setting.Variable] = true
	}
	for _, assignment := range environment {
		name, _, _ := strings.Cut(assignment, "=")
		if strings.HasPrefix(name, Prefix) && !known[name] {
			return errors.Wrapf(ErrInvalid, "%s names no setting: `poplarhook settings` lists those allowed", name)
		}
	}
	return nil
}

// variableNameOf returns the name of the environment variable of a field of Settings.
func variableNameOf(field string) string {
	f, _ := reflect.TypeFor[Settings]().FieldByName(field)
	return Prefix + f.Tag.Get("env")
}
