package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"
)

const (
	// Discovery gives a call up after 2 s. One that it accepts and forgets must leave time for another before what it
	// has to tell counts as told.
	answerWithin = 2500 * time.Millisecond
	silence      = 5 * time.Second // an empty line comes every 2 s, and what two lines told counts as told 6 s later
	maxLine      = 4 << 20
)

// How a watch ends, beside what its connection does.
var (
	// ErrGarbage ends a watch that sent what is no list.
	ErrGarbage = errors.New("discovery: no list")
	errSilent  = errors.New("discovery: the watch fell silent")
	errLate    = errors.New("discovery: the call was not answered in time")
	errEnded   = errors.New("discovery: the watch ended")
	errTooLong = fmt.Errorf("%w: a line without an end", ErrGarbage)
)

// Follower is one watch as a state machine: it cuts lists out of what the watch sends, and judges when it has fallen
// silent. It has no clock and no I/O: whoever moves the bytes tells it what came and when.
type Follower struct {
	opened bool
	until  time.Time // silent from then on
	line   []byte    // of which the end has not come yet
	parser fastjson.Parser
	ended  bool
}

// NewFollower begins a watch with its call.
func NewFollower(now time.Time) *Follower { return &Follower{until: now.Add(answerWithin)} }

// Answered takes the status of the answer.
func (f *Follower) Answered(now time.Time, status int) error {
	if status != 200 {
		return f.end(fmt.Errorf("discovery: status %d", status))
	}
	f.opened, f.until = true, now.Add(silence)
	return nil
}

// Received takes bytes of the answer's body and returns the lists that came whole, in order. After an error the watch is
// over; the lists that come with it count.
func (f *Follower) Received(now time.Time, b []byte) (lists []List, err error) {
	for !f.ended {
		text, rest, whole := bytes.Cut(b, []byte{'\n'})
		if !whole {
			if f.line = append(f.line, b...); len(f.line) > maxLine {
				return lists, f.end(errTooLong)
			}
			return lists, nil
		}
		if b = rest; len(f.line) > 0 {
			text = append(f.line, text...)
			f.line = f.line[:0]
		}
		f.until = now.Add(silence)
		if text = bytes.TrimSuffix(text, []byte{'\r'}); len(text) == 0 {
			continue
		}
		v, err := f.parser.ParseBytes(text)
		if err != nil {
			return lists, f.end(fmt.Errorf("%w: %w", ErrGarbage, err))
		}
		l, err := Parse(v)
		if err != nil {
			return lists, f.end(fmt.Errorf("%w: %w", ErrGarbage, err))
		}
		lists = append(lists, l)
	}
	return lists, nil
}

// Ended says that the answer has ended, and how its connection broke where it did. What came of the last line is a list
// too, if it is a whole one.
func (f *Follower) Ended(now time.Time, broke error) (lists []List, err error) {
	if f.ended {
		return nil, nil
	}
	if broke == nil && len(f.line) > 0 {
		if lists, err = f.Received(now, []byte{'\n'}); err != nil {
			return lists, err
		}
	}
	if broke == nil {
		broke = errEnded
	}
	return lists, f.end(broke)
}

// Next is when Due is wanted.
func (f *Follower) Next() time.Time { return f.until }

// Due ends a watch that has been silent for too long.
func (f *Follower) Due(now time.Time) error {
	switch {
	case f.ended || now.Before(f.until):
		return nil
	case !f.opened:
		return f.end(errLate)
	}
	return f.end(errSilent)
}

func (f *Follower) end(err error) error {
	f.ended = true
	return err
}
