package responder

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"poplarhook.example/standin/loadreport"
	"poplarhook.example/standin/queuer"
)

// errRestarted is the error of requests whose incarnation has ended.
var errRestarted = errors.New("endpoint restarted")

// incarnation is the state of the endpoint between two restarts; the Responder's lock guards it.
type incarnation struct {
	id               string
	ctx              context.Context
	cancel           context.CancelCauseFunc
	queue            *queuer.Queuer
	inFlight         int
	cold             bool
	coldSince        time.Time
	coldPeriodCount  int
	coldInFlight     int
	answersSinceCold int
}

// admission records the incarnation and the cold period in which a request was admitted.
type admission struct {
	incarnation *incarnation
	// coldPeriod is the number of the cold period in which the request arrived, 0 when the endpoint was warm.
	coldPeriod int
}

func (i *incarnation) end() {
	i.cancel(errRestarted)
}

// cancelAtEnd calls cancel when the incarnation ends, unless the returned function was called before.
func (i *incarnation) cancelAtEnd(cancel context.CancelCauseFunc) func() bool {
	return context.AfterFunc(i.ctx, func() { cancel(errRestarted) })
}

// setCold makes the endpoint warm, or starts a new cold period in which requests already in flight do not count towards
// the cold limit.
func (i *incarnation) setCold(cold bool, now time.Time) {
	i.cold = cold
	if !cold {
		return
	}
	i.coldSince = now
	i.coldPeriodCount++
	i.coldInFlight = 0
	i.answersSinceCold = 0
}

// startIncarnation starts a new incarnation; the caller holds the lock.
func (r *Responder) startIncarnation(cold bool) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r.incarnation = &incarnation{
		id:     uuid.NewString(),
		ctx:    ctx,
		cancel: cancel,
		queue:  queuer.New(r.host.Slots, r.queueLimit),
	}
	r.incarnation.setCold(cold, r.clock())
	r.host.Incarnation = r.incarnation.id
}

// restart ends the incarnation with all its requests and connections and starts a new one; the caller holds the lock.
func (r *Responder) restart() {
	r.incarnation.end()
	r.acceptor.ResetAll()
	r.startIncarnation(r.coldRequests > 0 || r.incarnation.cold)
}

// admitLocked counts a new request as in flight, or returns the reason why it is refused. A request over the limit of a
// cold endpoint restarts the endpoint after the cold grace period. The caller holds the lock.
func (r *Responder) admitLocked(now time.Time) (admission, error) {
	l := r.incarnation
	if r.settings.Shed {
		return admission{}, errShed
	}
	admitted := admission{incarnation: l}
	if l.cold {
		if l.coldInFlight >= r.coldLimit && now.Sub(l.coldSince) < r.coldGrace {
			return admission{}, errShed
		}
		admitted.coldPeriod = l.coldPeriodCount
		l.coldInFlight++
		r.totals.ColdPeakInFlight = max(r.totals.ColdPeakInFlight, l.coldInFlight)
	}
	l.inFlight++
	if l.cold && l.coldInFlight > r.coldLimit {
		r.totals.Crashes++
		r.restart()
		return admission{}, errRestarted
	}
	return admitted, nil
}

// endRequest counts an admitted request as no longer in flight; the caller holds the lock.
func (a admission) endRequest() {
	a.incarnation.inFlight--
	if a.coldPeriod != 0 && a.coldPeriod == a.incarnation.coldPeriodCount {
		a.incarnation.coldInFlight--
	}
}

// countAnswer counts a completed request of a cold endpoint, and makes the endpoint warm once it has completed
// coldRequests of them since it became cold. The caller holds the lock.
func (r *Responder) countAnswer(inc *incarnation) {
	if !inc.cold || r.coldRequests <= 0 {
		return
	}
	inc.answersSinceCold++
	if inc.answersSinceCold >= r.coldRequests {
		inc.setCold(false, r.clock())
	}
}

// recordLoad records the current load and returns the report to send. The report is old if ReportLagMS is set, and
// states an idle and warm endpoint if ReportLies is set. The caller holds the lock.
func (r *Responder) recordLoad() loadreport.Report {
	running, _ := r.incarnation.queue.Load()
	report := loadreport.New(r.incarnation.id, r.host.Slots, running, r.incarnation.inFlight, r.incarnation.cold, r.settings.Leaving)
	lag := time.Duration(r.settings.ReportLagMS) * time.Millisecond
	visible := r.reporter.Record(r.clock(), report, lag)
	if r.settings.ReportLies {
		return visible.AsIdleAndWarm()
	}
	return visible
}
