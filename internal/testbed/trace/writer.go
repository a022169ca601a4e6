package trace

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"shelfproxy/internal/testbed/workload"
)

// Writer adds requests to a trace. It is not safe for concurrent use.
type Writer struct {
	file     *os.File
	buffer   *bufio.Writer
	block    []byte        // the encoded requests of the current block
	requests int           // number of requests in the current block
	lastAt   time.Duration // due time of the last request in the current block
}

// Create starts a trace in a new file. It fails if the file exists.
func Create(path string, meta Meta) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	writer := newWriter(file)
	if err := writer.begin(meta); err != nil {
		return nil, fmt.Errorf("trace: %w", errors.Join(err, file.Close()))
	}
	return writer, nil
}

func newWriter(file *os.File) *Writer { return &Writer{file: file, buffer: bufio.NewWriter(file)} }

// begin writes the magic bytes and the metadata at the start of a trace.
func (w *Writer) begin(meta Meta) error {
	text, err := json.Marshal(meta)
	if err != nil {
		return err
	}
	if _, err := w.buffer.WriteString(magic); err != nil {
		return err
	}
	if err := w.writeBlock(text); err != nil {
		return err
	}
	return w.buffer.Flush()
}

// Add adds a request. Requests should be added in the order in which they were due: if a request was due before the previous
// request, Add writes the due time of the previous request instead.
func (w *Writer) Add(arrival workload.Arrival) error {
	if w.requests == 0 {
		w.lastAt = 0
	}
	at := max(arrival.At, w.lastAt)
	block := binary.AppendUvarint(w.block, uint64((at-w.lastAt)/time.Microsecond))
	w.lastAt += (at - w.lastAt).Truncate(time.Microsecond)
	for _, number := range []int{arrival.Class, arrival.Node, arrival.Size} {
		block = binary.AppendUvarint(block, uint64(number))
	}
	for _, text := range []string{arrival.Key, arrival.IdempotencyKey} {
		block = append(binary.AppendUvarint(block, uint64(len(text))), text...)
	}
	w.block = block
	if w.requests++; w.requests == requestsPerBlock {
		return w.flush()
	}
	return nil
}

// flush writes the current block, if it contains requests, and begins a new block.
func (w *Writer) flush() error {
	if w.requests == 0 {
		return nil
	}
	content := append(binary.AppendUvarint(nil, uint64(w.requests)), w.block...)
	w.block, w.requests = w.block[:0], 0
	if err := w.writeBlock(content); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	if err := w.buffer.Flush(); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

func (w *Writer) writeBlock(content []byte) error {
	if _, err := w.buffer.Write(headerOf(content).encode()); err != nil {
		return err
	}
	_, err := w.buffer.Write(content)
	return err
}

// Close writes the requests that are still buffered, syncs the file to disk and closes it.
func (w *Writer) Close() error {
	return errors.Join(w.flush(), w.file.Sync(), w.file.Close())
}
