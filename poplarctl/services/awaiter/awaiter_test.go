package awaiter_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/status"
	"poplarhook.example/poplarctl/modules/requester"
	"poplarhook.example/poplarctl/services/awaiter"
)

// script answers the looks at each entry host by its next status, and ends the context with the last.
type script struct {
	answers map[string][]status.Status
	end     context.CancelFunc
}

func (s *script) Admins() []string { return []string{"a", "b"} }

func (s *script) Send(_ context.Context, admin string, _ requester.Request, into any) (int64, error) {
	left := s.answers[admin]
	if len(left) <= 1 {
		defer s.end()
	}
	if len(left) == 0 {
		return 0, requester.ErrNotSent
	}
	*into.(*status.Status) = left[0]
	s.answers[admin] = left[1:]
	return 0, nil
}

// running is the status of a host that knows live hosts at the given revisions, its own first.
func running(revisions ...int64) status.Status {
	s := status.Status{HostID: "me", Hosts: []status.Host{{ID: "frozen", State: status.HostSilent}, {ID: "leaver", State: status.HostLeaving}}}
	for i, revision := range revisions {
		s.Revision = revisions[0]
		s.Hosts = append(s.Hosts, status.Host{ID: string(rune('p' + i)), State: status.HostLive, Revision: revision})
	}
	return s
}

func TestWait(t *testing.T) {
	for _, test := range []struct {
		a, b []status.Status
		want string
	}{
		{[]status.Status{running(1, 2), running(2, 2), running(3, 4)}, []status.Status{running(3), running(3), running(3)}, ""},
		{[]status.Status{running(3, 3)}, nil, ""},
		{[]status.Status{running(3, 2)}, []status.Status{running(3, 3)}, "revision 3: me knows: q runs 2: .*"},
		{[]status.Status{running(3, 3)}, []status.Status{running(2, 3)}, "revision 3: me itself runs 2: .*"},
		{nil, nil, "revision 3: no entry host answers: .*"},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		s := &script{answers: map[string][]status.Status{"a": test.a, "b": test.b}, end: cancel}
		err := awaiter.New(s, awaiter.WithInterval(time.Microsecond)).Wait(ctx, 3)
		cancel()
		if test.want == "" {
			qt.Check(t, err, qt.IsNil)
			continue
		}
		qt.Check(t, err, qt.ErrorIs, awaiter.ErrNotEverywhere)
		qt.Check(t, err, qt.ErrorMatches, test.want)
	}
}
