package listener

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

// feedingReader reads through a framingGuard, which it refills from source whenever the guard needs more bytes.
type feedingReader struct {
	*framingGuard
	source io.Reader
}

func (r feedingReader) Read(b []byte) (int, error) {
	for {
		n, err := r.framingGuard.Read(b)
		if !errors.Is(err, errNeedMoreBytes) {
			return n, err
		}
		if n, err = r.source.Read(r.buffer[:]); n == 0 {
			return 0, err
		}
		r.bytesRead(n)
	}
}

// sizeRecorder records the size of the largest buffer that it was asked to fill. redcon's reader passes the free part of its own
// buffer.
type sizeRecorder struct {
	reader  io.Reader
	maxSize int
}

func (r *sizeRecorder) Read(b []byte) (int, error) {
	r.maxSize = max(r.maxSize, len(b))
	return r.reader.Read(b)
}

// TestLongStreamDoesNotGrowReadBuffer guards against a read buffer that grows with the length of the stream, which happens if reads
// end in a partial command again and again. It sends commands without a gap, so that reads cut them anywhere. Every command must
// arrive as it was sent, and the buffer must stay within twice the size of the largest command.
func TestLongStreamDoesNotGrowReadBuffer(t *testing.T) {
	for name, size := range map[string]int{"small": 70, "near the guard's buffer": 4071, "large": 60 << 10} {
		t.Run(name, func(t *testing.T) {
			var stream bytes.Buffer
			count := max(300, 6<<20/size)
			value := strings.Repeat("v", size)
			for i := range count {
				command := redcon.AppendBulkString(redcon.AppendArray(nil, 2), fmt.Sprint(i))
				stream.Write(redcon.AppendBulkString(command, value[:size-i%61]))
			}
			recorder := &sizeRecorder{reader: feedingReader{&framingGuard{}, &stream}}
			reader := redcon.NewReader(recorder)
			for i := range count {
				command, err := reader.ReadCommand()
				if err != nil || len(command.Args) != 2 || string(command.Args[0]) != fmt.Sprint(i) || len(command.Args[1]) != size-i%61 {
					t.Fatalf("command %d of %d: got error %v and %d arguments, want the command as it was sent", i, count, err, len(command.Args))
				}
			}
			if _, err := reader.ReadCommand(); !errors.Is(err, io.EOF) {
				t.Errorf("after the last command: got error %v, want %v", err, io.EOF)
			}
			if limit := 2 * (size + 8<<10); recorder.maxSize > limit {
				t.Errorf("the buffer grew to %d bytes for commands of %d, want %d at most", recorder.maxSize, size, limit)
			}
		})
	}
}
