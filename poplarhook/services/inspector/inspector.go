package inspector

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/status"
)

// Path is where a host tells other hosts which configuration it runs.
const Path = "/v1/running"

const (
	// askTimeout bounds one question to a host: the way to the farthest region and back takes some 25 ms.
	askTimeout = 500 * time.Millisecond
	// askedAtOnce is how many hosts are asked together; a thousand that all are silent take half a minute.
	askedAtOnce = 16
)

// errAnswer says that a host answered with something else than what it runs.
var errAnswer = errors.New("host does not tell what it runs")

// Inspector asks other entry hosts.
type Inspector struct {
	http   *http.Client
	logger *zap.Logger
}

// Option changes how an Inspector is built.
type Option func(*Inspector)

// WithLogger sets where hosts that do not answer are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(i *Inspector) { i.logger = logger }
}

// New returns an Inspector.
func New(options ...Option) *Inspector {
	i := &Inspector{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, logger: zap.NewNop()}
	for _, option := range options {
		option(i)
	}
	return i
}

// Ask returns what each of the members runs, in the order of their ids; those that do not answer are silent.
func (i *Inspector) Ask(ctx context.Context, members []host.Host) []status.Host {
	answers := make([]status.Host, len(members))
	places := make(chan int)
	var asking sync.WaitGroup
	for range min(askedAtOnce, len(members)) {
		asking.Go(func() {
			for at := range places {
				answers[at] = i.ask(ctx, members[at])
			}
		})
	}
	for at := range members {
		places <- at
	}
	close(places)
	asking.Wait()
	slices.SortFunc(answers, func(a, b status.Host) int { return cmp.Compare(a.ID, b.ID) })
	return answers
}

// ask returns what one member runs.
func (i *Inspector) ask(ctx context.Context, member host.Host) status.Host {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := i.get(ctx, member.PeerAddress)
	if err == nil && answer.ID != member.ID {
		err = errors.Wrapf(errAnswer, "%s answers as %q", member.PeerAddress, answer.ID)
	}
	if err == nil {
		return answer
	}
	i.logger.Warn("entry host does not tell what it runs", zap.String("host", member.ID), zap.String("error", err.Error()))
	return status.Host{
		ID:               member.ID,
		Region:           member.Region,
		AvailabilityZone: member.AvailabilityZone,
		AdminAddress:     member.AdminAddress,
		State:            status.HostSilent,
	}
}

func (i *Inspector) get(ctx context.Context, address string) (status.Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return status.Host{}, errors.Wrapf(err, "ask %s", address)
	}
	response, err := i.http.Do(request)
	if err != nil {
		return status.Host{}, errors.Wrapf(err, "ask %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status.Host{}, errors.Wrapf(errAnswer, "%s answers %d", address, response.StatusCode)
	}
	var answer status.Host
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxAnswer)).Decode(&answer)
	return answer, errors.Wrapf(err, "answer of %s", address)
}

// maxAnswer is how much of an answer is read, in bytes.
const maxAnswer = 16 << 10
