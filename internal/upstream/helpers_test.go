package upstream

import (
	"time"

	"shelfproxy/internal/request"
)

// byteCodec is a protocol of single bytes. A request is 'q'. A response is 'a', with a value, or 'm' for a miss; any other byte
// is malformed.
type byteCodec struct{}

func (byteCodec) AppendRequest(b []byte, _ *Attempt, _ time.Time) []byte { return append(b, 'q') }
func (byteCodec) NewDecoder() Decoder                                    { return &byteDecoder{} }

type byteDecoder struct {
	input    [1]byte
	buffered []byte
}

func (d *byteDecoder) ReadBuffer() []byte { return d.input[:] }
func (d *byteDecoder) BytesRead(n int)    { d.buffered = append(d.buffered, d.input[:n]...) }
func (d *byteDecoder) Buffered() int      { return len(d.buffered) }
func (d *byteDecoder) NeededMemory() int  { return 0 }
func (d *byteDecoder) DiscardValue() bool { return false }
func (d *byteDecoder) NextResponse(bool) (Response, bool, error) {
	if len(d.buffered) == 0 {
		return Response{}, false, nil
	}
	kind := d.buffered[0]
	d.buffered = d.buffered[1:]
	switch kind {
	case 'a':
		return Response{Outcome: Served, Value: []byte("v")}, true, nil
	case 'm':
		return Response{Outcome: Missed}, true, nil
	}
	return Response{}, false, ErrMalformedResponse
}

// testLimits returns the limits of a pool with the given bounds.
func testLimits(maxStreams, maxConnections int) Limits {
	return Limits{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxStreams: maxStreams, MaxConnections: maxConnections, MaxQueued: 4}
}

// newTestCore returns a core with a descriptor budget of 4 for a server that speaks byteCodec.
func newTestCore(limits Limits) *Core {
	return NewCore("s", byteCodec{}, limits, Budgets{Descriptors: NewDescriptorBudget(4)})
}

// newAttempt returns an attempt for a new request.
func newAttempt(now time.Time) *Attempt {
	return &Attempt{Request: &request.Request{}, SentAt: now}
}
