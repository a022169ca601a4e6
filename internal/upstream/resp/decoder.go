// Package target speaks RESP2 to the cache servers.
package resp

import (
	"bytes"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/upstream"
)

// Codec writes the commands of cache servers and reads their answers.
type Codec struct{ Memory *upstream.ResponseMemory }

// AppendRequest appends the command of a forward: as the client gave it, but with the time that is left as d.
func (Codec) AppendRequest(b []byte, f *upstream.Attempt, now time.Time) []byte {
	if f.Request == nil {
		return append(b, "*1\r\n$4\r\nPING\r\n"...)
	}
	q := f.Request
	if q.IsWrite {
		b = redcon.AppendArray(b, 5)
		b = redcon.AppendBulkString(b, "CACHE.SET")
	} else {
		b = redcon.AppendArray(b, 4)
		b = redcon.AppendBulkString(b, "CACHE.GET")
	}
	b = redcon.AppendBulk(b, q.Key)
	b = redcon.AppendBulk(b, q.ID)
	b = redcon.AppendBulk(b, q.ParametersWithTimeout(f.Deadline.Sub(now)))
	if q.IsWrite {
		b = redcon.AppendBulk(b, q.Value)
	}
	return b
}

// NewDecoder returns a decoder of the answers on a connection.
func (c Codec) NewDecoder() upstream.Decoder { return &decoder{room: c.Memory} }

// chunk is how much is read at once. Answers are slices of the chunk that they were read into; what was read is
// never written over, as an answer may still be on its way to a client.
const chunk = 16 << 10

type decoder struct {
	room       *upstream.ResponseMemory
	buf        []byte
	start, end int
	want       int // bytes of the answer at start, where it is known to be longer than a chunk
	took       int // of the room
}

func (d *decoder) Buffered() int { return d.end - d.start }

func (d *decoder) BytesRead(n int) { d.end += n }

// ReadBuffer is the rest of the chunk. An answer that no longer fits it moves to a new one, of its own size if that is known.
func (d *decoder) ReadBuffer() []byte {
	if d.end == len(d.buf) || d.start+d.want > len(d.buf) {
		part := d.buf[d.start:d.end]
		size := max(chunk, 2*len(part))
		if d.want > chunk {
			size = d.want + maxLine // what comes behind the value, and a load report in it
		}
		d.buf = make([]byte, max(size, len(part)+1))
		d.start, d.end = 0, copy(d.buf, part)
	}
	return d.buf[d.end:]
}

func (d *decoder) NextResponse(bool) (upstream.Response, bool, error) {
	if d.end-d.start < d.want {
		return upstream.Response{}, false, nil
	}
	v, n, err := parse(d.buf[d.start:d.end], 0, d.room.MaxResponse())
	switch {
	case err != nil || n == 0:
		return upstream.Response{}, false, err
	case n < 0:
		if d.want = -n; d.want > chunk && d.took == 0 {
			if !d.room.Reserve(d.want) {
				return upstream.Response{}, false, upstream.ErrResponseTooLarge
			}
			d.took = d.want
		}
		return upstream.Response{}, false, nil
	}
	d.start += n
	if d.want > chunk { // the buffer is the answer's
		rest := d.buf[d.start:d.end]
		d.buf = make([]byte, max(chunk, len(rest)+1))
		d.start, d.end = 0, copy(d.buf, rest)
	}
	d.Release()
	a, err := answer(v)
	return a, err == nil, err
}

func (d *decoder) Release() {
	d.room.Release(d.took)
	d.took, d.want = 0, 0
}

var busy = []byte("BUSY")

func answer(v reply) (upstream.Response, error) {
	switch {
	case v.kind == '+':
		return upstream.Response{Outcome: upstream.Served}, nil // PONG
	case v.kind == '-' && (len(v.data) == 0 || v.data[0] < 'A' || v.data[0] > 'Z'):
		return upstream.Response{}, upstream.ErrMalformedResponse
	case v.kind == '-' && bytes.HasPrefix(v.data, busy):
		return upstream.Response{Outcome: upstream.ServerBusy, LoadReport: lastWord(v.data)}, nil
	case v.kind == '-':
		return upstream.Response{Outcome: upstream.Errored, LoadReport: lastWord(v.data)}, nil
	case v.kind == '*' && len(v.items) == maxItems && v.items[0].kind == '$':
		a := upstream.Response{Outcome: upstream.Served, Value: v.items[0].data}
		if v.items[0].null {
			a.Outcome = upstream.Missed
		}
		a.LoadReport = v.items[2].data
		return a, nil
	}
	return upstream.Response{}, upstream.ErrMalformedResponse
}

// lastWord is the load report that an error line may end with.
func lastWord(line []byte) []byte {
	if i := bytes.LastIndexByte(line, ' '); i >= 0 && bytes.IndexByte(line[i:], '=') >= 0 {
		return line[i+1:]
	}
	return nil
}
