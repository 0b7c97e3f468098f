package awaiter_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/status"
	"poplarhook.example/poplarctl/services/awaiter"
)

// script answers each look by the next status and ends the context after the last.
type script struct {
	answers []status.Status
	end     context.CancelFunc
}

func (s *script) Read(_ context.Context, _ string, into any) (int64, error) {
	if len(s.answers) == 0 {
		s.end()
		return 0, errors.New("gone")
	}
	*into.(*status.Status) = s.answers[0]
	s.answers = s.answers[1:]
	if len(s.answers) == 0 {
		s.end()
	}
	return 0, nil
}

func running(revisions ...int64) status.Status {
	s := status.Status{Hosts: []status.Host{{ID: "frozen", State: status.HostSilent}, {ID: "leaver", State: status.HostLeaving}}}
	for i, revision := range revisions {
		s.Hosts = append(s.Hosts, status.Host{ID: string(rune('a' + i)), State: status.HostLive, Revision: revision})
	}
	return s
}

func TestWait(t *testing.T) {
	for _, test := range []struct {
		answers []status.Status
		want    string
	}{
		{[]status.Status{running(1, 2), running(2, 2), running(3, 4)}, ""},
		{[]status.Status{running(3, 3)}, ""},
		{[]status.Status{running(3, 2)}, "revision 3: b runs 2: .*"},
		{[]status.Status{running()}, "revision 3: no entry host is live: .*"},
		{nil, "revision 3: no status was read: .*"},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		_, err := awaiter.New(&script{answers: test.answers, end: cancel}, awaiter.WithInterval(time.Microsecond)).Wait(ctx, 3)
		if test.want == "" {
			qt.Check(t, err, qt.IsNil)
			continue
		}
		qt.Check(t, err, qt.ErrorIs, awaiter.ErrNotEverywhere)
		qt.Check(t, err, qt.ErrorMatches, test.want)
	}
}
