package trace

import (
	"errors"
	"io"
	"os"
	"testing"
)

// appendTo opens an existing trace to add requests, as a program would that records all its runs to one file. It truncates an
// incomplete last block and returns the metadata and the number of bytes that it removed.
func appendTo(t testing.TB, path string) (*Writer, Meta, int64) {
	t.Helper()
	reader, err := Open(path)
	if err != nil {
		t.Fatalf("open %s: %v", path, err)
	}
	defer func() { _ = reader.Close() }()
	for {
		_, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatalf("read %s: %v", path, err)
		}
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatalf("open %s for writing: %v", path, err)
	}
	if err := file.Truncate(reader.lastBlockEnd); err != nil {
		t.Fatalf("cut off the end of %s: %v", path, err)
	}
	if _, err := file.Seek(reader.lastBlockEnd, io.SeekStart); err != nil {
		t.Fatalf("seek to the end of %s: %v", path, err)
	}
	return newWriter(file), reader.Meta, reader.Torn()
}
