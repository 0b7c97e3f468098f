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

// scriptedSender answers each request to an entry host with the host's next status, and cancels the context with the
// last one.
type scriptedSender struct {
	answers map[string][]status.Status
	end     context.CancelFunc
}

func (s *scriptedSender) Admins() []string { return []string{"a", "b"} }

func (s *scriptedSender) Send(_ context.Context, admin string, _ requester.Request, into any) (int64, error) {
	remaining := s.answers[admin]
	if len(remaining) <= 1 {
		defer s.end()
	}
	if len(remaining) == 0 {
		return 0, requester.ErrNotSent
	}
	*into.(*status.Status) = remaining[0]
	s.answers[admin] = remaining[1:]
	return 0, nil
}

// statusOf returns the status of a host that reports live hosts at the given revisions, the first of which is its own,
// and one silent and one leaving host.
func statusOf(revisions ...int64) status.Status {
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
		{[]status.Status{statusOf(1, 2), statusOf(2, 2), statusOf(3, 4)}, []status.Status{statusOf(3), statusOf(3), statusOf(3)}, ""},
		{[]status.Status{statusOf(3, 3)}, nil, ""},
		{[]status.Status{statusOf(3, 2)}, []status.Status{statusOf(3, 3)}, "revision 3: me reports: q runs revision 2: .*"},
		{[]status.Status{statusOf(3, 3)}, []status.Status{statusOf(2, 3)}, "revision 3: me runs revision 2: .*"},
		{nil, nil, "revision 3: no entry host answers: .*"},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		s := &scriptedSender{answers: map[string][]status.Status{"a": test.a, "b": test.b}, end: cancel}
		err := awaiter.New(s, awaiter.WithInterval(time.Microsecond)).Wait(ctx, 3)
		cancel()
		if test.want == "" {
			qt.Check(t, err, qt.IsNil)
			continue
		}
		qt.Check(t, err, qt.ErrorIs, awaiter.ErrNotRolledOut)
		qt.Check(t, err, qt.ErrorMatches, test.want)
	}
}
