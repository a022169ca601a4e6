package discovery

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"shelfproxy/internal/discovery/polling"
)

const maxList = 4 << 20 // bytes

// How a watch ends, beside what its connection does.
var (
	// ErrMalformed ends a watch that sent what is no list.
	ErrMalformed = errors.New("discovery: no list")
	errSilent    = errors.New("discovery: the watch fell silent")
	errLate      = errors.New("discovery: the call was not answered in time")
	errEnded     = errors.New("discovery: the watch ended")
	errCut       = fmt.Errorf("%w: one that is cut short", ErrMalformed)
	errTooLong   = fmt.Errorf("%w: one without an end", ErrMalformed)
	errNoObject  = fmt.Errorf("%w: something that is no object", ErrMalformed)
)

// WatchState is one watch as a state machine: it cuts lists out of what the watch sends, and judges when it has fallen
// silent. It has no clock and no I/O: whoever moves the bytes tells it what came and when.
//
// A list is a JSON object; it may be indented, and so take many lines. Between lists there is white space, and a line of nothing
// else says that nothing has changed. Such a line within a list, or the end of one within a string, shows that the list was cut
// short: whatever comes behind is no part of it.
type WatchState struct {
	opened bool
	until  time.Time // silent from then on
	list   []byte    // of which the end has not come yet
	depth  int       // of the brackets that are open in it
	text   bool      // it is within a string
	escape bool      // whose next byte is escaped
	said   bool      // the line in hand holds more than white space
	parser fastjson.Parser
	ended  bool
}

// NewWatchState begins a watch with its call, which is to be answered in a time.
func NewWatchState(now time.Time, within time.Duration) *WatchState {
	return &WatchState{until: now.Add(within)}
}

// ResponseReceived takes the status of the answer.
func (f *WatchState) ResponseReceived(now time.Time, status int) error {
	if status != 200 {
		return f.end(fmt.Errorf("discovery: status %d", status))
	}
	f.opened, f.until = true, now.Add(polling.WatchTimeout)
	return nil
}

// BytesReceived takes bytes of the answer's body and returns the lists that came whole, in order. After an error the watch is
// over; the lists that come with it count.
func (f *WatchState) BytesReceived(now time.Time, b []byte) (lists []List, err error) {
	if f.ended {
		return nil, nil
	}
	begun := 0 // where in b the part of the list in hand begins
	for i, c := range b {
		if c == '\n' {
			f.until = now.Add(polling.WatchTimeout)
			if f.depth > 0 && (f.text || !f.said) {
				return lists, f.end(errCut)
			}
			f.said = false
		} else if c != ' ' && c != '\t' && c != '\r' {
			f.said = true
		}
		switch {
		case f.depth == 0:
			switch c {
			case ' ', '\t', '\r', '\n':
				begun = i + 1
			case '{':
				f.depth, begun = 1, i
			default:
				return lists, f.end(errNoObject)
			}
		case f.escape:
			f.escape = false
		case f.text:
			f.escape, f.text = c == '\\', c != '"'
		case c == '"':
			f.text = true
		case c == '{' || c == '[':
			f.depth++
		case c == '}' || c == ']':
			if f.depth--; f.depth > 0 {
				break
			}
			f.list = append(f.list, b[begun:i+1]...)
			begun, f.until = i+1, now.Add(polling.WatchTimeout)
			l, err := f.parse()
			if err != nil {
				return lists, f.end(fmt.Errorf("%w: %w", ErrMalformed, err))
			}
			lists = append(lists, l)
		}
	}
	if f.depth > 0 {
		if f.list = append(f.list, b[begun:]...); len(f.list) > maxList {
			return lists, f.end(errTooLong)
		}
	}
	return lists, nil
}

// parse reads the list in hand, which has come whole.
func (f *WatchState) parse() (List, error) {
	v, err := f.parser.ParseBytes(f.list)
	f.list = f.list[:0]
	if err != nil {
		return List{}, err
	}
	return Parse(v)
}

// ConnectionEnded says that the answer has ended, and how its connection broke where it did. A list of which the end has not come is none.
func (f *WatchState) ConnectionEnded(broke error) error {
	switch {
	case f.ended:
		return nil
	case broke == nil:
		broke = errEnded
	}
	return f.end(broke)
}

// Deadline is when Due is wanted.
func (f *WatchState) Deadline() time.Time { return f.until }

// CheckTimeout ends a watch that has been silent for too long.
func (f *WatchState) CheckTimeout(now time.Time) error {
	switch {
	case f.ended || now.Before(f.until):
		return nil
	case !f.opened:
		return f.end(errLate)
	}
	return f.end(errSilent)
}

func (f *WatchState) end(err error) error {
	f.ended = true
	return err
}
