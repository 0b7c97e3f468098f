package administrator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/parser"
	"poplarhook.example/lib/problem"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/status"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/validator"
	"poplarhook.example/lib/violation"
	"poplarhook.example/lib/zone"
	"poplarhook.example/poplarhook/modules/authorizer"
	"poplarhook.example/poplarhook/routers/administrator"
)

const shopDocument = `{"team":"shop","classes":[{"name":"lookups","methods":["GET"],"path_prefix":"/stock","service":"stock",
"execution":"idempotent","latency_target_ms":50,"deadline_ms":500,"spill":"never","urgency":"high"}]}`

// memoryStore is a store in memory; if err is set, Get and Put return it.
type memoryStore struct {
	err     error
	version int64
	objects map[string]object.Object
}

func (m *memoryStore) Get(_ context.Context, key string) (object.Object, error) {
	if m.err != nil {
		return object.Object{}, m.err
	}
	found, ok := m.objects[key]
	if !ok {
		return object.Object{}, storer.ErrNotFound
	}
	return found, nil
}

func (m *memoryStore) Delete(context.Context, string, ...storer.Precondition) error {
	return storer.ErrUnavailable
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, _ ...storer.Precondition) (int64, error) {
	if m.err != nil {
		return 0, m.err
	}
	m.version++
	m.objects[key] = object.Object{Key: key, Version: m.version, Value: value}
	return m.version, nil
}

type fixture struct {
	*testing.T
	store   *memoryStore
	handler http.Handler
}

func newFixture(t *testing.T, options ...administrator.Option) *fixture {
	auth, err := authorizer.New("operators:operators-token,shop:shop-token,office:office-token")
	qt.Assert(t, err, qt.IsNil)
	store := &memoryStore{objects: map[string]object.Object{}}
	p := publisher.New(store, validator.New(validator.WithZones("fuerth", "bamberg")))
	options = append([]administrator.Option{
		administrator.WithClock(func() time.Time { return time.Unix(1000, 0).UTC() }),
		administrator.WithZones(func() []zone.Zone {
			return []zone.Zone{{Name: "fuerth", Region: "franken"}, {Name: "bamberg", Region: "franken"}}
		}),
		administrator.WithPublishTimeout(30 * time.Millisecond),
	}, options...)
	return &fixture{T: t, store: store, handler: administrator.New(p, auth, options...)}
}

func (f *fixture) call(team, method, target, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(f.Context(), method, target, strings.NewReader(body))
	if team != "" {
		r.Header.Set("Authorization", "Bearer "+team+"-token")
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w
}

func (f *fixture) decode(w *httptest.ResponseRecorder, into any) {
	qt.Assert(f, w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
	qt.Assert(f, json.Unmarshal(w.Body.Bytes(), into), qt.IsNil)
}

func (f *fixture) assertRefused(w *httptest.ResponseRecorder, status int, code string) {
	_ = f.assertProblem(w, status, code)
}

func (f *fixture) assertProblem(w *httptest.ResponseRecorder, status int, code string) problem.Problem {
	var p problem.Problem
	qt.Assert(f, json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil, qt.Commentf("%s", w.Body))
	qt.Assert(f, w.Code, qt.Equals, status, qt.Commentf("%s", w.Body))
	qt.Assert(f, w.Header().Get("Content-Type"), qt.Equals, problem.ContentType)
	qt.Assert(f, p.Code, qt.Equals, code)
	qt.Assert(f, p.Status, qt.Equals, status)
	return p
}

func TestDocumentIsReplaced(t *testing.T) {
	f := newFixture(t)
	w := f.call("shop", "PUT", "/v1/teams/shop/document?change_id=change-0001", shopDocument, "If-Match", `"0"`)
	var change index.Change
	f.decode(w, &change)
	qt.Assert(t, change.Revision, qt.Equals, int64(1))
	qt.Assert(t, change.Author, qt.Equals, "shop")
	qt.Assert(t, w.Header().Get("ETag"), qt.Equals, `"1"`)
	again := f.call("shop", "PUT", "/v1/teams/shop/document?change_id=change-0001", shopDocument, "If-Match", `"0"`)
	qt.Assert(t, again.Body.String(), qt.Equals, w.Body.String())

	var doc document.Document
	f.decode(f.call("operators", "GET", "/v1/teams/shop/document", ""), &doc)
	qt.Assert(t, doc.Classes, qt.HasLen, 1)
	var snap snapshot.Snapshot
	f.decode(f.call("operators", "GET", "/v1/config", ""), &snap)
	qt.Assert(t, snap.Documents, qt.HasLen, 1)
	f.decode(f.call("office", "GET", "/v1/config", ""), &snap)
	qt.Assert(t, snap.Documents, qt.HasLen, 0)
	var changes []index.Change
	f.decode(f.call("office", "GET", "/v1/changes", ""), &changes)
	qt.Assert(t, changes, qt.DeepEquals, []index.Change{change})
	var found index.Change
	f.decode(f.call("office", "GET", "/v1/changes/change-0001", ""), &found)
	qt.Assert(t, found, qt.DeepEquals, change)
}

func TestZones(t *testing.T) {
	f := newFixture(t)
	for _, method := range []string{"PUT", "DELETE"} {
		var change index.Change
		f.decode(f.call("operators", method, "/v1/zones-out/fuerth?change_id=zone-"+method+"-1", ""), &change)
		var zones []zone.Zone
		f.decode(f.call("shop", "GET", "/v1/zones", ""), &zones)
		qt.Assert(t, zones, qt.DeepEquals, []zone.Zone{
			{Name: "bamberg", Region: "franken"}, {Name: "fuerth", Region: "franken", Out: method == "PUT"},
		})
	}
	p := f.assertProblem(f.call("operators", "PUT", "/v1/zones-out/furth?change_id=change-0002", ""), 422, problem.CodeInvalid)
	qt.Assert(t, p.Violations, qt.DeepEquals, []violation.Violation{{Field: "zone", Value: "furth", Allowed: "one of fuerth, bamberg"}})
}

func TestAuthorisation(t *testing.T) {
	f := newFixture(t)
	for _, test := range []struct {
		method, target string
		allowed        string
	}{
		{"GET", "/v1/config", "operators shop office"},
		{"GET", "/v1/changes", "operators shop office"},
		{"GET", "/v1/changes/change-0001", "operators shop office"},
		{"GET", "/v1/zones", "operators shop office"},
		{"GET", "/v1/status", "operators shop office"},
		{"GET", "/v1/teams/shop/document", "operators shop"},
		{"PUT", "/v1/teams/shop/document?dry_run=true", "shop"},
		{"PUT", "/v1/teams/operators/document?dry_run=true", ""},
		{"PUT", "/v1/zones-out/fuerth?change_id=change-0001", "operators"},
		{"DELETE", "/v1/zones-out/fuerth?change_id=change-0002", "operators"},
		{"GET", "/debug/state", "operators"},
	} {
		for _, team := range []string{"operators", "shop", "office"} {
			w := f.call(team, test.method, test.target, shopDocument)
			forbidden := w.Code == http.StatusForbidden
			qt.Check(t, forbidden, qt.Equals, !strings.Contains(test.allowed, team), qt.Commentf("%s %v", team, test))
		}
		f.assertRefused(f.call("", test.method, test.target, shopDocument), 401, problem.CodeUnauthorized)
		f.assertRefused(f.call("wrong", test.method, test.target, shopDocument), 401, problem.CodeUnauthorized)
	}
	f.assertRefused(f.call("shop", "GET", "/v2", ""), 404, problem.CodeNotFound)
	f.assertRefused(f.call("shop", "POST", "/v1/config", ""), 405, problem.CodeNoMethod)
}

func TestRefusals(t *testing.T) {
	f := newFixture(t)
	put := func(query, body string, header ...string) *httptest.ResponseRecorder {
		return f.call("shop", "PUT", "/v1/teams/shop/document?"+query, body, header...)
	}
	f.assertRefused(put("", shopDocument), 422, problem.CodeInvalid)
	f.assertRefused(put("change_id=change-0001", "team: office"), 422, problem.CodeInvalid)
	f.assertRefused(put("change_id=change-0001", "team: shop\nweights: 1"), 422, problem.CodeInvalid)
	f.assertRefused(put("change_id=change-0001", shopDocument, "If-Match", "*"), 422, problem.CodeInvalid)
	f.assertRefused(put("dry_run=perhaps", shopDocument), 422, problem.CodeInvalid)
	f.assertRefused(put("change_id=change-0001", strings.Repeat(" ", parser.MaxBytes+1)), 413, problem.CodeTooLarge)
	qt.Assert(t, put("dry_run=true", shopDocument).Code, qt.Equals, http.StatusNoContent)
	qt.Assert(t, f.store.objects, qt.HasLen, 0)

	qt.Assert(t, put("change_id=change-0001", shopDocument).Code, qt.Equals, http.StatusOK)
	f.assertRefused(put("change_id=change-0002", shopDocument, "If-Match", `"0"`), 412, problem.CodeConflict)
	f.assertRefused(f.call("operators", "PUT", "/v1/zones-out/fuerth?change_id=change-0001", ""), 409, problem.CodeChangeIDUsed)
	f.assertRefused(f.call("shop", "GET", "/v1/changes/change-0009", ""), 404, problem.CodeNotFound)
	f.assertRefused(f.call("office", "GET", "/v1/teams/office/document", ""), 404, problem.CodeNotFound)

	f.store.err = storer.ErrUnavailable
	w := f.call("operators", "PUT", "/v1/zones-out/fuerth?change_id=change-0003", "")
	f.assertRefused(w, 503, problem.CodeUnavailable)
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "1")
	f.assertRefused(f.call("operators", "GET", "/v1/zones", ""), 503, problem.CodeUnavailable)
	noWait := newFixture(t, administrator.WithPublishTimeout(time.Hour))
	noWait.store.err = storer.ErrUnavailable
	w = noWait.call("operators", "PUT", "/v1/zones-out/fuerth?change_id=change-0003", "", "Prefer", "respond-async, wait=0")
	noWait.assertRefused(w, 503, problem.CodeUnavailable)
}

// replyLosingStore loses the reply to every write: Put reports an unknown outcome. The first write is applied;
// after it, reads fail and writes are not applied until err is cleared.
type replyLosingStore struct {
	*memoryStore
}

func (s replyLosingStore) Put(ctx context.Context, key string, value []byte, conditions ...storer.Precondition) (int64, error) {
	_, _ = s.memoryStore.Put(ctx, key, value, conditions...)
	s.err = storer.ErrUnavailable
	return 0, storer.ErrUnknownOutcome
}

func TestLostStoreReplyIsReportedAsUnknownOutcome(t *testing.T) {
	f := newFixture(t)
	auth, err := authorizer.New("operators:operators-token")
	qt.Assert(t, err, qt.IsNil)
	p := publisher.New(replyLosingStore{f.store}, validator.New())
	f.handler = administrator.New(p, auth, administrator.WithPublishTimeout(30*time.Millisecond))
	target := "/v1/zones-out/fuerth?change_id=change-0001"
	f.assertRefused(f.call("operators", "PUT", target, ""), 504, problem.CodeUnknownOutcome)
	f.store.err = nil
	qt.Assert(t, f.call("operators", "PUT", target, "").Code, qt.Equals, http.StatusOK)
}

func TestOptionsSetChecksAndSources(t *testing.T) {
	var failure error
	check := func() error { return failure }
	f := newFixture(t,
		administrator.WithReady(check), administrator.WithLive(check),
		administrator.WithMetrics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("metric 1")) })),
		administrator.WithState(func(context.Context) any { return map[string]int{"open_links": 3} }),
		administrator.WithStatus(func(context.Context) status.Status { return status.Status{HostID: "entry-1", Revision: 7} }),
	)
	qt.Assert(t, f.call("", "GET", "/readyz", "").Code, qt.Equals, 200)
	failure = errors.New("no configuration yet")
	qt.Assert(t, f.assertProblem(f.call("", "GET", "/readyz", ""), 503, problem.CodeUnavailable).Detail, qt.Equals, "no configuration yet")
	f.assertRefused(f.call("", "GET", "/livez", ""), 503, problem.CodeUnavailable)
	qt.Assert(t, f.call("", "GET", "/metrics", "").Body.String(), qt.Equals, "metric 1")
	qt.Assert(t, f.call("operators", "GET", "/debug/state", "").Body.String(), qt.Equals, "{\"open_links\":3}\n")
	var s status.Status
	f.decode(f.call("shop", "GET", "/v1/status", ""), &s)
	qt.Assert(t, s.Revision, qt.Equals, int64(7))
	qt.Assert(t, bytes.Contains(f.call("shop", "GET", "/v1/status", "").Body.Bytes(), []byte(`"store_calls"`)), qt.IsTrue)
}
