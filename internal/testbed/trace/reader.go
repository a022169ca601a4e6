package trace

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"shelfproxy/internal/testbed/workload"
)

// ErrNotTrace is returned for a file that does not begin with the magic bytes of a trace.
var ErrNotTrace = errors.New("is no trace")

// ErrCorrupt is returned for a block that cannot be decoded and is not an incomplete last block.
var ErrCorrupt = errors.New("corrupt block")

// errTorn is returned if the file ends in the middle of a block.
var errTorn = errors.New("the last block is incomplete")

// Reader reads the requests of a trace from the start of its file. It is not safe for concurrent use.
type Reader struct {
	Meta Meta

	file         *os.File
	buffer       *bufio.Reader
	size         int64 // size of the file, in bytes
	offset       int64 // offset of the next block in the file
	lastBlockEnd int64 // offset of the end of the last complete block

	pending uint64 // number of requests in the current block that were not read yet
	decoder decoder
	lastAt  time.Duration // due time of the previous request in the current block
}

// Open opens a trace and reads its metadata.
func Open(path string) (*Reader, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	reader := &Reader{file: file, buffer: bufio.NewReaderSize(file, 1<<16), offset: int64(len(magic))}
	if err := reader.begin(); err != nil {
		_ = file.Close() // the file was only read; the error of begin matters more
		return nil, fmt.Errorf("trace: %s: %w", path, err)
	}
	return reader, nil
}

// begin reads the magic bytes and the metadata at the start of a trace.
func (r *Reader) begin() error {
	info, err := r.file.Stat()
	if err != nil {
		return err
	}
	r.size = info.Size()
	start := make([]byte, len(magic))
	if _, err := io.ReadFull(r.buffer, start); err != nil || string(start[:versionIndex]) != magic[:versionIndex] {
		return ErrNotTrace
	}
	if start[versionIndex] != magic[versionIndex] {
		return fmt.Errorf("has version %q; this program reads %q", start[versionIndex], magic[versionIndex])
	}
	content, err := r.readBlock()
	if err != nil {
		return fmt.Errorf("has no metadata: %w", err)
	}
	if err := json.Unmarshal(content, &r.Meta); err != nil {
		return fmt.Errorf("metadata: %w", err)
	}
	return nil
}

// readBlock reads the content of the next block. It returns io.EOF at the end of the file, and errTorn if the next block is
// an incomplete last block.
func (r *Reader) readBlock() ([]byte, error) {
	if r.offset == r.size {
		return nil, io.EOF
	}
	var encoded [blockHeaderSize]byte
	if _, err := io.ReadFull(r.buffer, encoded[:]); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errTorn
		}
		return nil, err
	}
	header := decodeHeader(encoded)
	length := int64(header.length)
	end := r.offset + blockHeaderSize + length
	if end > r.size {
		return nil, errTorn // a corrupt length cannot be distinguished from an incomplete block
	}
	if length > maxBlockSize {
		return nil, fmt.Errorf("%w at byte %d: its length is %d bytes", ErrCorrupt, r.offset, length)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(r.buffer, content); err != nil {
		return nil, err
	}
	if headerOf(content).checksum != header.checksum {
		if end == r.size {
			return nil, errTorn
		}
		return nil, fmt.Errorf("%w at byte %d: wrong checksum", ErrCorrupt, r.offset)
	}
	r.offset, r.lastBlockEnd = end, end
	return content, nil
}

// Next returns the next request. It returns io.EOF after the last complete block, even if an incomplete block follows.
func (r *Reader) Next() (workload.Arrival, error) {
	for r.pending == 0 {
		if err := r.nextBlock(); err != nil {
			return workload.Arrival{}, err
		}
	}
	r.pending--
	r.lastAt += time.Duration(r.decoder.number()) * time.Microsecond
	arrival := workload.Arrival{At: r.lastAt}
	arrival.Class = int(r.decoder.number())
	arrival.Node = int(r.decoder.number())
	arrival.Size = int(r.decoder.number())
	arrival.Key = r.decoder.text()
	arrival.IdempotencyKey = r.decoder.text()
	if r.decoder.failed || arrival.Class < 0 || arrival.Class >= len(r.Meta.Classes) || arrival.At < 0 {
		return workload.Arrival{}, fmt.Errorf("trace: %w before byte %d: a request cannot be decoded", ErrCorrupt, r.offset)
	}
	return arrival, nil
}

// nextBlock reads the next block and makes it the current block.
func (r *Reader) nextBlock() error {
	content, err := r.readBlock()
	switch {
	case errors.Is(err, errTorn), errors.Is(err, io.EOF):
		return io.EOF
	case err != nil:
		return fmt.Errorf("trace: %w", err)
	}
	requests, size := binary.Uvarint(content)
	if size <= 0 {
		return fmt.Errorf("trace: %w before byte %d: it has no number of requests", ErrCorrupt, r.offset)
	}
	r.pending, r.decoder, r.lastAt = requests, decoder{rest: content[size:]}, 0
	return nil
}

// Torn returns the number of bytes after the last complete block. The result is valid once Next has returned io.EOF.
func (r *Reader) Torn() int64 { return r.size - r.lastBlockEnd }

// Close closes the file.
func (r *Reader) Close() error { return r.file.Close() }

// decoder decodes the fields of the requests in a block. failed becomes true at the first field that cannot be decoded, and stays
// true.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) number() uint64 {
	value, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[size:]
	return value
}

func (d *decoder) text() string {
	size := d.number()
	if d.failed || size > maxTextSize || size > uint64(len(d.rest)) {
		d.failed = true
		return ""
	}
	text := string(d.rest[:size])
	d.rest = d.rest[size:]
	return text
}
