package responder

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"poplarhook.example/standin/loadreport"
	"poplarhook.example/standin/queuer"
)

// errRestarted ends the work of an incarnation that is over.
var errRestarted = errors.New("endpoint restarted")

// life is the state of one incarnation; the Responder's lock guards it.
type life struct {
	incarnation  string
	ctx          context.Context
	cancel       context.CancelCauseFunc
	queue        *queuer.Queuer
	inFlight     int
	cold         bool
	coldSince    time.Time
	coldTurns    int
	coldInFlight int
	answered     int
}

// ticket is one request's place in a life.
type ticket struct {
	life *life
	// coldTurn is the turn to cold under which the request arrived, 0 when it arrived warm.
	coldTurn int
}

func (l *life) end() {
	l.cancel(errRestarted)
}

// atEnd has a request of the life cancelled when the life ends, until the returned function is called.
func (l *life) atEnd(cancel context.CancelCauseFunc) func() bool {
	return context.AfterFunc(l.ctx, func() { cancel(errRestarted) })
}

// turn makes the endpoint cold or warm; what is in flight already does not count against the cold limit.
func (l *life) turn(cold bool, now time.Time) {
	l.cold = cold
	if !cold {
		return
	}
	l.coldSince = now
	l.coldTurns++
	l.coldInFlight = 0
	l.answered = 0
}

// begin starts a new incarnation; the caller holds the lock.
func (r *Responder) begin(cold bool) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r.life = &life{
		incarnation: uuid.NewString(),
		ctx:         ctx,
		cancel:      cancel,
		queue:       queuer.New(r.host.Slots, r.queueLimit),
	}
	r.life.turn(cold, r.clock())
	r.host.Incarnation = r.life.incarnation
}

// restart ends the incarnation with all its work and connections; the caller holds the lock.
func (r *Responder) restart() {
	r.life.end()
	r.gate.CutAll()
	r.begin(r.coldRequests > 0 || r.life.cold)
}

// enter counts a request in and returns why it is refused, if it is; the caller holds the lock.
func (r *Responder) enter(now time.Time) (ticket, error) {
	l := r.life
	if r.settings.Shed {
		return ticket{}, errShed
	}
	entered := ticket{life: l}
	if l.cold {
		if l.coldInFlight >= r.coldLimit && now.Sub(l.coldSince) < r.coldGrace {
			return ticket{}, errShed
		}
		entered.coldTurn = l.coldTurns
		l.coldInFlight++
		r.totals.ColdPeakInFlight = max(r.totals.ColdPeakInFlight, l.coldInFlight)
	}
	l.inFlight++
	if l.cold && l.coldInFlight > r.coldLimit {
		r.totals.FellOver++
		r.restart()
		return ticket{}, errRestarted
	}
	return entered, nil
}

// leave counts a request out; the caller holds the lock.
func (t ticket) leave() {
	t.life.inFlight--
	if t.coldTurn != 0 && t.coldTurn == t.life.coldTurns {
		t.life.coldInFlight--
	}
}

// warm counts an answer towards being warm; the caller holds the lock.
func (r *Responder) warm(l *life) {
	if !l.cold || r.coldRequests <= 0 {
		return
	}
	l.answered++
	if l.answered >= r.coldRequests {
		l.turn(false, r.clock())
	}
}

// note remembers the present load and returns the report to give out; the caller holds the lock.
func (r *Responder) note() loadreport.Report {
	running, _ := r.life.queue.Load()
	report := loadreport.New(r.life.incarnation, r.host.Slots, running, r.life.inFlight, r.life.cold, r.settings.Leaving)
	lag := time.Duration(r.settings.ReportLagMS) * time.Millisecond
	shown := r.reporter.Note(r.clock(), report, lag)
	if r.settings.ReportLies {
		return shown.WithLies()
	}
	return shown
}
