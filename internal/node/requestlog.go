package node

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// lateAnswerTolerance is how long after its deadline a request may be answered before the node counts the answer as late.
const lateAnswerTolerance = 50 * time.Millisecond

// Causes for which the node itself ends a request without a value, besides the causes of the policy.
const (
	causeMaxOpen    = "max_open"    // the maximum number of requests is open
	causeNoMemory   = "no_memory"   // the open requests use too much memory
	causeNotDecided = "not_decided" // the policy gave no answer by the deadline

	causeNone = "" // the response is a value
)

// requestLog counts why requests ended. At the debug level, it also logs what happens to each request, under the request's id.
type requestLog struct {
	log    *slog.Logger
	late   *atomic.Int64
	causes map[string]*atomic.Int64
}

// newRequestLog returns a log and registers its counters.
func newRequestLog(log *slog.Logger, count *counters.Counters) requestLog {
	l := requestLog{log: log, late: count.Register("flows_answered_late"), causes: map[string]*atomic.Int64{}}
	for _, cause := range slices.Concat(policy.CauseNames(), []string{causeMaxOpen, causeNoMemory, causeNotDecided}) {
		l.causes[cause] = count.Register(fmt.Sprintf("flows_ended{cause=%q}", cause))
	}
	return l
}

// isTracing reports whether what happens to each request is logged.
func (l *requestLog) isTracing() bool { return l.log.Enabled(context.Background(), slog.LevelDebug) }

// received logs a request that the event loop has taken from the intake.
func (l *requestLog) received(now time.Time, open *openRequest) {
	if l.isTracing() {
		l.log.Debug("a request was received", logs.Event, "request_received", "id", string(open.ID), "key", string(open.Key),
			"class", open.Class, "waited_ms", now.Sub(open.ReceivedAt).Milliseconds(), "left_ms", open.deadline.Sub(now).Milliseconds())
	}
}

// attemptSent logs the start of an attempt.
func (l *requestLog) attemptSent(open *openRequest, attempt *upstream.Attempt) {
	if l.isTracing() {
		l.log.Debug("an attempt was started", logs.Event, "attempt_started", "id", string(open.ID), "attempt", attempt.Number,
			"server", attempt.Server)
	}
}

// attemptEnded logs the outcome of an attempt.
func (l *requestLog) attemptEnded(now time.Time, open *openRequest, attempt *upstream.Attempt, outcome upstream.Outcome) {
	if l.isTracing() {
		l.log.Debug("an attempt ended", logs.Event, "attempt_ended", "id", string(open.ID), "attempt", attempt.Number,
			"server", attempt.Server, "outcome", outcome.String(), "took_ms", now.Sub(attempt.SentAt).Milliseconds())
	}
}

// ended counts why a request ended, and logs it. A request that is answered late is logged as a warning, even if requests are not
// traced.
func (l *requestLog) ended(now time.Time, open *openRequest, kind request.ResponseKind, cause string) {
	if counter := l.causes[cause]; counter != nil {
		counter.Add(1)
	}
	overdue := now.Sub(open.deadline)
	if overdue > lateAnswerTolerance {
		l.late.Add(1)
		l.logEnd(slog.LevelWarn, "a request was answered after its deadline", "request_late", now, open, kind, cause)
		return
	}
	if l.isTracing() {
		l.logEnd(slog.LevelDebug, "a request ended", "request_ended", now, open, kind, cause)
	}
}

func (l *requestLog) logEnd(level slog.Level, message, event string, now time.Time, open *openRequest, kind request.ResponseKind, cause string) {
	l.log.Log(context.Background(), level, message, logs.Event, event, "id", string(open.ID), "class", open.Class,
		"answer", kind.String(), "cause", cause, "attempts", len(open.attempts),
		"took_ms", now.Sub(open.ReceivedAt).Milliseconds(), "left_ms", open.deadline.Sub(now).Milliseconds())
}
