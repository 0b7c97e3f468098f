package responder_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"poplarhook.example/lib/host"
	"poplarhook.example/standin/account"
	"poplarhook.example/standin/loadreport"
	"poplarhook.example/standin/responder"
)

const (
	// endlessServiceTime is a service time that is longer than any test.
	endlessServiceTime = time.Hour
	maxWait            = 10 * time.Second
	// callTimeout ends calls that get no complete answer.
	callTimeout = 200 * time.Millisecond
)

// fixture is one endpoint and an HTTP client for requests to it.
type fixture struct {
	c        *qt.C
	endpoint *responder.Responder
	client   *http.Client
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func start(t *testing.T, simulated host.Host, options ...responder.Option) fixture {
	c := qt.New(t)
	simulated.ID = "e1"
	endpoint := responder.New(simulated, options...)
	ctx, cancel := context.WithCancel(context.Background())
	done, err := endpoint.Start(ctx)
	c.Assert(err, qt.IsNil)
	transport := &http.Transport{}
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
		transport.CloseIdleConnections()
	})
	return fixture{c: c, endpoint: endpoint, client: &http.Client{Transport: transport, Timeout: maxWait}}
}

func (b fixture) do(ctx context.Context, id string, header ...string) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.endpoint.Host().Address+"/orders", strings.NewReader("cloth"))
	b.c.Assert(err, qt.IsNil)
	request.Header.Set("X-Request-Id", id)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := b.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// doAsync sends a request in the background; the channel receives the error of the request, or nil.
func (b fixture) doAsync(ctx context.Context, id string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, _, err := b.do(ctx, id)
		ended <- err
	}()
	return ended
}

// awaitAccount polls until the account of the endpoint meets the condition.
func (b fixture) awaitAccount(condition func(account.Account) bool) account.Account {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for range int(maxWait / time.Millisecond) {
		if a := b.endpoint.Account(); condition(a) {
			return a
		}
		<-ticker.C
	}
	b.c.Fatalf("condition not met, account %+v", b.endpoint.Account())
	return account.Account{}
}

func (b fixture) report() loadreport.Report {
	response, err := b.client.Get("http://" + b.endpoint.Host().Address + "/healthz")
	b.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var report loadreport.Report
	text := strings.TrimPrefix(response.Header.Get(loadreport.Header), "JSON ")
	b.c.Assert(json.Unmarshal([]byte(text), &report), qt.IsNil)
	return report
}

func (b fixture) awaitInFlight(n int) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for b.report().NamedMetrics.InFlight != n {
		<-ticker.C
	}
}

func hasExecutions(n int) func(account.Account) bool {
	return func(a account.Account) bool { return len(a.Executions) == n }
}

func TestAnswersAreCompleteAndWarmTheEndpoint(t *testing.T) {
	b := start(t, host.Host{Slots: 2}, responder.WithMeanService(0), responder.WithColdStart(2, 1))
	b.c.Assert(b.report().NamedMetrics.Cold, qt.Equals, 1)
	for _, id := range []string{"r1", "r2"} {
		response, text, err := b.do(t.Context(), id, "X-Answer-Bytes", "100000", "X-Request-Class", "order", "X-Marker", "m1")
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(response.ContentLength, qt.Equals, int64(len(text)))
		b.c.Assert(text, qt.Contains, `"request_id":"`+id+`"`)
		b.c.Assert(text, qt.Contains, strings.Repeat("x", 100000))
	}
	b.c.Assert(b.report().NamedMetrics.Cold, qt.Equals, 0)
	executed := b.endpoint.Account().Executions
	b.c.Assert(executed, qt.HasLen, 2)
	b.c.Assert(executed[1].Completed, qt.IsTrue)
	b.c.Assert(executed[1].Class, qt.Equals, "order")
	b.c.Assert(executed[1].Marker, qt.Equals, "m1")
}

func TestColdEndpointCrashesOverItsLimit(t *testing.T) {
	b := start(t, host.Host{Slots: 4}, responder.WithMeanService(endlessServiceTime), responder.WithColdStart(10, 2))
	before := b.endpoint.Host().Incarnation
	first := b.doAsync(t.Context(), "r1")
	second := b.doAsync(t.Context(), "r2")
	b.awaitAccount(hasExecutions(2))
	b.c.Assert(b.endpoint.Account().Crashes, qt.Equals, 0)
	_, _, err := b.do(t.Context(), "r3")
	b.c.Assert(err, qt.IsNotNil)
	b.c.Assert(<-first, qt.IsNotNil)
	b.c.Assert(<-second, qt.IsNotNil)
	after := b.awaitAccount(func(a account.Account) bool { return len(a.Executions) == 2 && a.Executions[1].FinishedUnixUS != 0 })
	b.c.Assert(after.Crashes, qt.Equals, 1)
	b.c.Assert(after.ColdPeakInFlight, qt.Equals, 3)
	b.c.Assert(after.Executions[0].Completed, qt.IsFalse)
	b.c.Assert(b.endpoint.Host().Incarnation, qt.Not(qt.Equals), before)
	b.c.Assert(b.report().NamedMetrics.InFlight, qt.Equals, 0)
}

func TestCancelledQueuedRequestIsNotExecuted(t *testing.T) {
	b := start(t, host.Host{Slots: 1}, responder.WithMeanService(endlessServiceTime))
	running, stopRunning := context.WithCancel(t.Context())
	first := b.doAsync(running, "r1")
	b.awaitAccount(hasExecutions(1))
	waiting, stopWaiting := context.WithCancel(t.Context())
	second := b.doAsync(waiting, "r2")
	b.awaitInFlight(2)
	stopWaiting()
	b.c.Assert(<-second, qt.ErrorIs, context.Canceled)
	b.awaitAccount(func(a account.Account) bool { return a.CancelledInQueue == 1 })
	stopRunning()
	b.c.Assert(<-first, qt.ErrorIs, context.Canceled)
	b.awaitInFlight(0)
	executed := b.endpoint.Account().Executions
	b.c.Assert(executed, qt.HasLen, 1)
	b.c.Assert(executed[0].RequestID, qt.Equals, "r1")
}

func TestQueuedRequestIsShedAtItsDeadline(t *testing.T) {
	b := start(t, host.Host{Slots: 1}, responder.WithMeanService(endlessServiceTime))
	running, stop := context.WithCancel(t.Context())
	first := b.doAsync(running, "r1")
	b.awaitAccount(hasExecutions(1))
	response, text, err := b.do(t.Context(), "r2", "Grpc-Timeout", "20m")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	b.c.Assert(text, qt.Contains, `"outcome":"not_run"`)
	stop()
	b.c.Assert(<-first, qt.ErrorIs, context.Canceled)
	b.c.Assert(b.endpoint.Account().Executions, qt.HasLen, 1)
}

func TestBrokenAnswers(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(*responder.Settings)
		timeout time.Duration
		want    string
	}{
		{"truncate", func(s *responder.Settings) { s.Truncate = true }, maxWait, "unexpected EOF"},
		{"wrong length", func(s *responder.Settings) { s.WrongLength = true }, callTimeout, ".*(deadline|Timeout).*"},
		{"abrupt", func(s *responder.Settings) { s.Abrupt = true }, maxWait, ".*(EOF|reset).*"},
		{"silent", func(s *responder.Settings) { s.Silent = true }, callTimeout, ".*(deadline|Timeout).*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, host.Host{Slots: 1}, responder.WithMeanService(0))
			b.client.Timeout = test.timeout
			b.endpoint.Change(test.change)
			_, _, err := b.do(t.Context(), "r1")
			b.c.Assert(err, qt.ErrorMatches, test.want)
			b.c.Assert(b.endpoint.Account().Executions, qt.HasLen, 1)
		})
	}
}

func TestForgetConnectionsSilencesOnlyOpenConnections(t *testing.T) {
	b := start(t, host.Host{Slots: 1}, responder.WithMeanService(0), responder.WithRecording(true))
	_, _, err := b.do(t.Context(), "r1")
	b.c.Assert(err, qt.IsNil)
	b.endpoint.Change(func(s *responder.Settings) { s.ForgetConnections = true })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err = b.do(ctx, "r2")
	b.c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	_, _, err = b.do(t.Context(), "r3")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(b.endpoint.Account().Executions, qt.HasLen, 2)
	b.c.Assert(string(b.endpoint.Received()), qt.Contains, "cloth")
}

func TestRestartResetsConnectionsAndStartsCold(t *testing.T) {
	b := start(t, host.Host{Slots: 1}, responder.WithMeanService(endlessServiceTime), responder.WithColdStart(5, 1), responder.WithWarmStart())
	before := b.report()
	b.c.Assert(before.NamedMetrics.Cold, qt.Equals, 0)
	running := b.doAsync(t.Context(), "r1")
	b.awaitAccount(hasExecutions(1))
	b.endpoint.Change(func(s *responder.Settings) { s.Restart = true })
	b.c.Assert(<-running, qt.IsNotNil)
	after := b.report()
	b.c.Assert(after.Incarnation, qt.Not(qt.Equals), before.Incarnation)
	b.c.Assert(after.NamedMetrics.Cold, qt.Equals, 1)
	b.c.Assert(b.endpoint.Account().Crashes, qt.Equals, 0)
}

func TestAnswersAndHealthStateLeaving(t *testing.T) {
	b := start(t, host.Host{Slots: 1}, responder.WithMeanService(0))
	b.endpoint.Change(func(s *responder.Settings) { s.Leaving = true })
	response, _, err := b.do(t.Context(), "r1")
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	b.c.Assert(response.Close, qt.IsTrue)
	b.c.Assert(response.Header.Get(loadreport.Header), qt.Contains, `"leaving":1`)
	health, err := b.client.Get("http://" + b.endpoint.Host().Address + "/healthz")
	b.c.Assert(err, qt.IsNil)
	health.Body.Close()
	b.c.Assert(health.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

func TestConnectionLimit(t *testing.T) {
	b := start(t, host.Host{Slots: 1, Connections: 1}, responder.WithMeanService(endlessServiceTime))
	ctx, cancel := context.WithCancel(t.Context())
	first := b.doAsync(ctx, "r1")
	b.awaitAccount(hasExecutions(1))
	// The reset may arrive before the dial returns.
	c, err := net.Dial("tcp", b.endpoint.Host().Address)
	if err == nil {
		defer c.Close()
		_, err = c.Read(make([]byte, 1))
	}
	b.c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	a := b.endpoint.Account()
	b.c.Assert(a.ConnectionsRefused, qt.Equals, 1)
	b.c.Assert(a.ConnectionsPeak, qt.Equals, 1)
	cancel()
	b.c.Assert(<-first, qt.ErrorIs, context.Canceled)
}

func TestFalseReportsAndUnknownSettings(t *testing.T) {
	b := start(t, host.Host{Slots: 1}, responder.WithMeanService(0), responder.WithColdStart(5, 1))
	b.c.Assert(b.endpoint.Control([]byte(`{"colder":true}`)), qt.ErrorMatches, `.*"colder".*`)
	b.c.Assert(b.endpoint.Control([]byte(`{"report_lies":true}`)), qt.IsNil)
	b.c.Assert(b.report().NamedMetrics.Cold, qt.Equals, 0)
	b.c.Assert(b.endpoint.Settings().Cold, qt.IsTrue)
}
