package discovery

import (
	"fmt"
	"net/http"
	"time"

	"shelfproxy/internal/discovery/polling"
)

// watchPhase says how far a watch has got.
type watchPhase int

const (
	phaseCalling   watchPhase = iota // the call has no response yet
	phaseStreaming                   // lists are read from the response's body
	phaseEnded                       // a method has returned an error, which ended the watch
)

// WatchState is the state machine of one watch. It extracts the lists from the bytes of the response and decides when the watch
// has timed out. It has no clock and no I/O: its caller passes the bytes and the time at which they arrived. It is not safe for
// concurrent use.
//
// The first error that a method returns ends the watch. From then on BytesReceived, ConnectionEnded and CheckTimeout return
// nothing.
//
// A list is a JSON object. It may be indented and so take several lines. White space separates lists. An empty line between two
// lists is a keep-alive. An empty line within a list shows that the list was truncated.
type WatchState struct {
	phase    watchPhase
	deadline time.Time // time at which the watch times out unless it makes progress before
	scanner  objectScanner
	parser   Parser
}

// NewWatchState returns the state of a watch whose call was just sent. The call has to be answered within callTimeout.
func NewWatchState(now time.Time, callTimeout time.Duration) *WatchState {
	return &WatchState{deadline: now.Add(callTimeout)}
}

// ResponseReceived processes the HTTP status of the response. It returns a *StatusError for any status but 200.
func (w *WatchState) ResponseReceived(now time.Time, status int) error {
	if status != http.StatusOK {
		return w.end(&StatusError{status})
	}
	if w.phase == phaseCalling {
		w.phase = phaseStreaming
	}
	w.deadline = now.Add(polling.WatchTimeout)
	return nil
}

// BytesReceived processes bytes of the response's body and returns the lists that they complete, in order. The lists are valid
// even if an error is returned with them. The error wraps ErrMalformed.
func (w *WatchState) BytesReceived(now time.Time, data []byte) ([]List, error) {
	if w.phase == phaseEnded {
		return nil, nil
	}
	var lists []List
	for len(data) > 0 {
		scan, err := w.scanner.next(data)
		if err != nil {
			return lists, w.end(err)
		}
		if scan.progressed {
			w.deadline = now.Add(polling.WatchTimeout)
		}
		data = scan.rest
		if scan.object == nil {
			continue
		}
		list, err := w.parser.Parse(scan.object)
		if err != nil {
			return lists, w.end(fmt.Errorf("%w: %w", ErrMalformed, err))
		}
		lists = append(lists, list)
	}
	return lists, nil
}

// ConnectionEnded ends the watch because its connection ended. It returns cause if the connection broke. If cause is nil, the
// response's body just ended, and ConnectionEnded returns ErrWatchClosed. A list that is incomplete by then is dropped.
func (w *WatchState) ConnectionEnded(cause error) error {
	switch {
	case w.phase == phaseEnded:
		return nil
	case cause == nil:
		cause = ErrWatchClosed
	}
	return w.end(cause)
}

// Deadline returns the time at which CheckTimeout should be called next. The deadline moves as bytes arrive.
func (w *WatchState) Deadline() time.Time { return w.deadline }

// CheckTimeout ends the watch with ErrCallTimeout or ErrWatchTimeout if its deadline has passed.
func (w *WatchState) CheckTimeout(now time.Time) error {
	switch {
	case w.phase == phaseEnded || now.Before(w.deadline):
		return nil
	case w.phase == phaseCalling:
		return w.end(ErrCallTimeout)
	}
	return w.end(ErrWatchTimeout)
}

func (w *WatchState) end(cause error) error {
	w.phase = phaseEnded
	return cause
}
