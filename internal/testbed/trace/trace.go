// Package trace keeps the requests of a load, as they were due, in a file: to be looked at, cut, scaled, made
// anonymous and played again. It knows arrivals, not sockets.
//
// A file begins with the eight bytes "SLTRACE1", the last of which is the version. Blocks follow, each with its length
// (4 bytes, little-endian), the CRC32C of its content (4 bytes) and its content. The first block is the meta data, as
// JSON; each other one holds requests, in the order in which they were due:
//
//	number of requests   uvarint
//	for each: microseconds since the one before (since 0 for the first of a block: since the start), class, node,
//	size: uvarint each; length and bytes of the key; length and bytes of the idempotency key
//
// Blocks are only ever added at the end. One that was not written whole, as the writer ended, is cut off when the file
// is opened again and reported; a block that is spoilt with others behind it is an error.
package trace

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"time"

	"shelfproxy/internal/testbed/workload"
)

const (
	magic    = "SLTRACE1"
	perBlock = 256
	maxBlock = 16 << 20
	maxText  = 64 << 10 // of a key
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Meta is what a trace says of itself.
type Meta struct {
	Classes   []string  `json:"classes"` // names, by the numbers that requests have
	Nodes     int       `json:"nodes"`
	From      string    `json:"from,omitempty"` // where it came from, in the words of whoever recorded it
	StartedAt time.Time `json:"began,omitzero"`
}

// Writer adds requests to a trace. It is not safe for concurrent use.
type Writer struct {
	f     *os.File
	w     *bufio.Writer
	block []byte
	n     int
	last  time.Duration
	first bool
}

// Create starts a trace in a new file; one that exists is an error.
func Create(path string, m Meta) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	t := &Writer{f: f, w: bufio.NewWriter(f)}
	text, err := json.Marshal(m)
	if err == nil {
		_, err = t.w.WriteString(magic)
	}
	if err == nil {
		err = t.put(text)
	}
	if err == nil {
		err = t.w.Flush()
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("trace: %w", err)
	}
	return t, nil
}

// Append opens a trace to add to it. What was not written whole at its end is cut off; torn is how many bytes that were.
func Append(path string) (t *Writer, m Meta, torn int64, err error) {
	r, err := Open(path)
	if err != nil {
		return nil, m, 0, err
	}
	defer r.Close()
	for {
		if _, err := r.Next(); err == io.EOF {
			break
		} else if err != nil {
			return nil, m, 0, err
		}
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err == nil {
		if err = f.Truncate(r.good); err == nil {
			_, err = f.Seek(r.good, io.SeekStart)
		}
		if err != nil {
			f.Close()
		}
	}
	if err != nil {
		return nil, m, 0, fmt.Errorf("trace: %w", err)
	}
	return &Writer{f: f, w: bufio.NewWriter(f)}, r.Meta, r.Torn(), nil
}

// Add adds a request. Requests are added in the order in which they were due; one that comes late counts as due with
// the one before.
func (t *Writer) Add(a workload.Arrival) error {
	if t.n == 0 {
		t.last = 0
	}
	due := max(a.At, t.last)
	b := binary.AppendUvarint(t.block, uint64((due-t.last)/time.Microsecond))
	t.last += (due - t.last).Truncate(time.Microsecond)
	for _, v := range []int{a.Class, a.Node, a.Size} {
		b = binary.AppendUvarint(b, uint64(v))
	}
	for _, s := range []string{a.Key, a.IdempotencyKey} {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	t.block = b
	if t.n++; t.n == perBlock {
		return t.flush()
	}
	return nil
}

// flush writes the block in hand.
func (t *Writer) flush() error {
	if t.n == 0 {
		return nil
	}
	content := append(binary.AppendUvarint(nil, uint64(t.n)), t.block...)
	t.block, t.n = t.block[:0], 0
	if err := t.put(content); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	if err := t.w.Flush(); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

func (t *Writer) put(content []byte) error {
	var head [8]byte
	binary.LittleEndian.PutUint32(head[:4], uint32(len(content)))
	binary.LittleEndian.PutUint32(head[4:], crc32.Checksum(content, castagnoli))
	if _, err := t.w.Write(head[:]); err != nil {
		return err
	}
	_, err := t.w.Write(content)
	return err
}

// Close writes what is left and closes the file.
func (t *Writer) Close() error {
	return errors.Join(t.flush(), t.f.Sync(), t.f.Close())
}

// Reader reads a trace from its start.
type Reader struct {
	Meta Meta
	f    *os.File
	r    *bufio.Reader
	size int64
	at   int64 // of the next block
	good int64 // end of the last whole one
	rest []byte
	n    uint64
	last time.Duration
}

// Open opens a trace and reads its meta data.
func Open(path string) (*Reader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	r := &Reader{f: f, r: bufio.NewReaderSize(f, 1<<16), at: int64(len(magic))}
	fail := func(format string, args ...any) (*Reader, error) {
		f.Close()
		return nil, fmt.Errorf("trace: %s: "+format, append([]any{path}, args...)...)
	}
	info, err := f.Stat()
	if err != nil {
		return fail("%w", err)
	}
	r.size = info.Size()
	head := make([]byte, len(magic))
	if _, err := io.ReadFull(r.r, head); err != nil || string(head[:7]) != magic[:7] {
		return fail("is no trace")
	}
	if head[7] != magic[7] {
		return fail("has version %q; this program reads %q", head[7], magic[7])
	}
	content, err := r.block()
	if err != nil {
		return fail("has no meta data: %w", err)
	}
	if err := json.Unmarshal(content, &r.Meta); err != nil {
		return fail("meta data: %w", err)
	}
	return r, nil
}

// errTorn is the end of a file in the middle of a block.
var errTorn = errors.New("the last block is not whole")

// block reads one; io.EOF is the end.
func (r *Reader) block() ([]byte, error) {
	var head [8]byte
	if r.at == r.size {
		return nil, io.EOF
	}
	n, err := io.ReadFull(r.r, head[:])
	if err != nil {
		if n < len(head) && (err == io.EOF || err == io.ErrUnexpectedEOF) {
			return nil, errTorn
		}
		return nil, err
	}
	length := int64(binary.LittleEndian.Uint32(head[:4]))
	end := r.at + int64(len(head)) + length
	if end > r.size {
		return nil, errTorn // or its length is spoilt, which is the same to whoever adds to it
	}
	if length > maxBlock {
		return nil, fmt.Errorf("the block at byte %d says that it has %d bytes", r.at, length)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(r.r, content); err != nil {
		return nil, err
	}
	if crc32.Checksum(content, castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
		if end == r.size {
			return nil, errTorn
		}
		return nil, fmt.Errorf("the block at byte %d is spoilt", r.at)
	}
	r.at, r.good = end, end
	return content, nil
}

// Next is the next request; io.EOF is the end, also that before a block that is not whole.
func (r *Reader) Next() (workload.Arrival, error) {
	for r.n == 0 {
		content, err := r.block()
		if err == errTorn {
			return workload.Arrival{}, io.EOF
		}
		if err != nil {
			if err != io.EOF {
				err = fmt.Errorf("trace: %w", err)
			}
			return workload.Arrival{}, err
		}
		n, k := binary.Uvarint(content)
		if k <= 0 {
			return workload.Arrival{}, fmt.Errorf("trace: the block before byte %d has no count", r.at)
		}
		r.n, r.rest, r.last = n, content[k:], 0
	}
	r.n--
	var bad bool
	number := func() uint64 {
		v, k := binary.Uvarint(r.rest)
		if k <= 0 {
			bad = true
			return 0
		}
		r.rest = r.rest[k:]
		return v
	}
	text := func() string {
		n := number()
		if bad || n > maxText || n > uint64(len(r.rest)) {
			bad = true
			return ""
		}
		s := string(r.rest[:n])
		r.rest = r.rest[n:]
		return s
	}
	r.last += time.Duration(number()) * time.Microsecond
	a := workload.Arrival{At: r.last, Class: int(number()), Node: int(number()), Size: int(number())}
	a.Key, a.IdempotencyKey = text(), text()
	if bad || a.Class < 0 || a.Class >= len(r.Meta.Classes) || a.At < 0 {
		return workload.Arrival{}, fmt.Errorf("trace: a request in the block before byte %d makes no sense", r.at)
	}
	return a, nil
}

// Torn is how many bytes behind the last whole block there are, once Next has come to the end.
func (r *Reader) Torn() int64 { return r.size - r.good }

// Close closes the file.
func (r *Reader) Close() error { return r.f.Close() }
