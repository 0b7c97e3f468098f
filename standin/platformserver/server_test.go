package platformserver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/lister"
	"poplarhook.example/lib/storer"
	"poplarhook.example/standin/hostlistserver"
	"poplarhook.example/standin/platformserver"
	"poplarhook.example/standin/storeserver"
)

const longWait = 10 * time.Second

func start(c *qt.C) (*platformserver.Server, *httptest.Server) {
	p := platformserver.New()
	server := httptest.NewServer(p)
	c.Cleanup(server.Close)
	c.Cleanup(p.Close)
	return p, server
}

func TestConditionalUpdate(t *testing.T) {
	c := qt.New(t)
	_, server := start(c)
	ctx := context.Background()
	s := storer.New(server.URL)
	first, err := s.Put(ctx, "a/b c", []byte("1"), storer.IfAbsent())
	c.Assert(err, qt.IsNil)
	_, err = s.Put(ctx, "a/b c", []byte("2"), storer.IfAbsent())
	c.Assert(err, qt.ErrorIs, storer.ErrConflict)
	second, err := s.Put(ctx, "a/b c", []byte("2"), storer.IfVersion(first))
	c.Assert(err, qt.IsNil)
	c.Assert(second > first, qt.IsTrue)
	_, err = s.Put(ctx, "a/b c", []byte("3"), storer.IfVersion(first))
	c.Assert(err, qt.ErrorIs, storer.ErrConflict)
	found, err := s.Get(ctx, "a/b c")
	c.Assert(err, qt.IsNil)
	c.Assert(string(found.Value), qt.Equals, "2")
	listed, err := s.List(ctx, "a/")
	c.Assert(err, qt.IsNil)
	c.Assert(listed, qt.HasLen, 1)
	c.Assert(listed[0].Key, qt.Equals, "a/b c")
	c.Assert(s.Delete(ctx, "a/b c", storer.IfVersion(first)), qt.ErrorIs, storer.ErrConflict)
	c.Assert(s.Delete(ctx, "a/b c"), qt.IsNil)
	_, err = s.Get(ctx, "a/b c")
	c.Assert(err, qt.ErrorIs, storer.ErrNotFound)
	c.Assert(s.Delete(ctx, "a/b c"), qt.ErrorIs, storer.ErrNotFound)
}

func TestWatch(t *testing.T) {
	c := qt.New(t)
	p, server := start(c)
	ctx := context.Background()
	s := storer.New(server.URL)
	version := p.Store().Put("k", []byte("1"))
	_, err := s.Watch(ctx, "k", version, time.Millisecond)
	c.Assert(err, qt.ErrorIs, storer.ErrUnchanged)
	seen := make(chan string, 1)
	go func() {
		found, err := s.Watch(ctx, "k", version, longWait)
		if err != nil {
			seen <- err.Error()
			return
		}
		seen <- string(found.Value)
	}()
	p.Store().Put("k", []byte("2"))
	c.Assert(<-seen, qt.Equals, "2")
	_, _, watches, _ := p.Store().Calls()
	c.Assert(watches, qt.Equals, int64(2))
}

func TestReplyLostAfterWriteIsApplied(t *testing.T) {
	c := qt.New(t)
	p, server := start(c)
	ctx := context.Background()
	s := storer.New(server.URL)
	p.Store().Change(func(settings *storeserver.Settings) { settings.LoseReplies = 1 })
	_, err := s.Put(ctx, "k", []byte("1"))
	c.Assert(err, qt.ErrorIs, storer.ErrUnknownOutcome)
	found, err := s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(found.Value), qt.Equals, "1")
	_, err = s.Put(ctx, "k", []byte("2"))
	c.Assert(err, qt.IsNil)
}

func TestWriteDuringHangIsAppliedAfterHang(t *testing.T) {
	c := qt.New(t)
	p, server := start(c)
	ctx := context.Background()
	s := storer.New(server.URL, storer.WithTimeout(200*time.Millisecond))
	p.Store().Change(func(settings *storeserver.Settings) { settings.Hang = true })
	_, err := s.Put(ctx, "k", []byte("1"))
	c.Assert(err, qt.ErrorIs, storer.ErrUnknownOutcome)
	_, applied := p.Store().Get("k")
	c.Assert(applied, qt.IsFalse)
	p.Store().Change(func(settings *storeserver.Settings) { settings.Hang = false })
	_, err = storer.New(server.URL).Watch(ctx, "k", 0, longWait)
	c.Assert(err, qt.IsNil)
}

func TestStaleReadsAndOutage(t *testing.T) {
	c := qt.New(t)
	p, server := start(c)
	ctx := context.Background()
	s := storer.New(server.URL)
	old := p.Store().Put("k", []byte("old"))
	p.Store().Put("k", []byte("new"))
	control(c, server, `{"stale":true}`)
	found, err := s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(found.Version, qt.Equals, old)
	c.Assert(string(found.Value), qt.Equals, "old")
	control(c, server, `{"down":true}`)
	_, err = s.Put(ctx, "k", []byte("x"))
	c.Assert(err, qt.ErrorIs, storer.ErrUnavailable)
	control(c, server, `{"down":false,"stale":false}`)
	found, err = s.Get(ctx, "k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(found.Value), qt.Equals, "new")
}

func TestHostListChangeIsVisibleAfterLag(t *testing.T) {
	c := qt.New(t)
	p, server := start(c)
	ctx := context.Background()
	l := lister.New(server.URL)
	version, hosts, err := l.List(ctx, 0, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(hosts, qt.HasLen, 0)
	const lagMS = 30
	p.Hosts().Change(func(s *hostlistserver.Settings) { s.HostListLagMS = lagMS })
	start := time.Now()
	response, err := http.Post(server.URL+"/standin/hosts", "application/json", strings.NewReader(`{"id":"h1","state":"live"}`))
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
	_, _, err = l.List(ctx, version, time.Millisecond)
	c.Assert(err, qt.ErrorIs, lister.ErrUnchanged)
	newer, hosts, err := l.List(ctx, version, longWait)
	c.Assert(err, qt.IsNil)
	c.Assert(time.Since(start) >= lagMS*time.Millisecond, qt.IsTrue)
	c.Assert(newer > version, qt.IsTrue)
	c.Assert(hosts, qt.DeepEquals, []host.Host{{ID: "h1", State: host.StateLive}})
}

func control(c *qt.C, server *httptest.Server, body string) {
	response, err := http.Post(server.URL+"/standin/control", "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
}
