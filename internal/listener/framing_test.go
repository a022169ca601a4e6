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

// feedingReader reads commands with a commandReader, which it refills from source whenever more bytes are needed. It grants all
// memory at once.
type feedingReader struct {
	commandReader
	source io.Reader
}

func (r *feedingReader) read() (command, error) {
	for {
		received, err := r.next()
		switch {
		case errors.Is(err, errNeedMemory):
			r.memoryReserved()
			continue
		case !errors.Is(err, errNeedMoreBytes):
			return received, err
		}
		n, err := r.source.Read(r.buffer[:])
		if n == 0 {
			return command{}, err
		}
		r.bytesRead(n)
	}
}

// TestLongStreamDoesNotGrowReadBuffer guards against memory that grows with the length of the stream, which happens if reads end in
// a partial command again and again. It sends commands without a gap, so that reads cut them anywhere. Every command must arrive as
// it was sent, in a buffer that is hardly larger than the command, and nothing must be left after it.
func TestLongStreamDoesNotGrowReadBuffer(t *testing.T) {
	for name, size := range map[string]int{"small": 70, "near the read buffer": 4071, "large": 60 << 10} {
		t.Run(name, func(t *testing.T) {
			var stream bytes.Buffer
			count := max(300, 6<<20/size)
			value := strings.Repeat("v", size)
			for i := range count {
				command := redcon.AppendBulkString(redcon.AppendArray(nil, 2), fmt.Sprint(i))
				stream.Write(redcon.AppendBulkString(command, value[:size-i%61]))
			}
			reader := &feedingReader{source: &stream}
			maxBuffer := 0
			for i := range count {
				received, err := reader.read()
				if err != nil || len(received.args) != 2 || string(received.args[0]) != fmt.Sprint(i) || len(received.args[1]) != size-i%61 {
					t.Fatalf("command %d of %d: got error %v and %d arguments, want the command as it was sent", i, count, err, len(received.args))
				}
				maxBuffer = max(maxBuffer, cap(received.args[0]))
				if reader.raw != nil {
					t.Fatalf("command %d of %d: %d bytes are kept after the command, want none", i, count, cap(reader.raw))
				}
			}
			if _, err := reader.read(); !errors.Is(err, io.EOF) {
				t.Errorf("after the last command: got error %v, want %v", err, io.EOF)
			}
			if limit := size + size/4 + 8<<10; maxBuffer > limit {
				t.Errorf("the buffer grew to %d bytes for commands of %d, want %d at most", maxBuffer, size, limit)
			}
		})
	}
}

// TestDiscardedArgumentIsReplacedByAnEmptyOne checks that a long argument may be discarded before and while it arrives, wherever
// the bytes are cut, and that the commands behind it arrive as they were sent.
func TestDiscardedArgumentIsReplacedByAnEmptyOne(t *testing.T) {
	const size = 20_000
	long := redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "SET"), strings.Repeat("v", size))
	stream := append(append(long, long...), "*1\r\n$4\r\nPING\r\n"...)
	for _, discardAfter := range []int{0, 1, size / 2, size * 3 / 4} { // bytes of the argument that have arrived
		for _, pieceSize := range []int{1, 7, readBufferSize} {
			reader := &commandReader{}
			var got []command
			released, granted := 0, 0
			for rest := stream; len(rest) > 0; {
				n := copy(reader.buffer[:pieceSize], rest)
				rest = rest[n:]
				reader.bytesRead(n)
				for {
					received, err := reader.next()
					if errors.Is(err, errNeedMemory) && (len(got) > 0 || discardAfter > 0) {
						reader.memoryReserved()
						granted += size
						continue
					}
					if errors.Is(err, errNeedMemory) {
						released += reader.discardArgument()
						continue
					}
					if err != nil {
						break
					}
					got = append(got, received)
				}
				if arrived := len(reader.raw) - len("*2\r\n$3\r\nSET\r\n$20000\r\n"); len(got) == 0 && reader.isReadingLongArgument() && arrived >= discardAfter {
					released += reader.discardArgument()
				}
			}
			if len(got) != 3 || !got[0].isIncomplete || len(got[0].args) != 2 || len(got[0].args[1]) != 0 || got[0].reservedMemory != 0 {
				t.Fatalf("discarded after %d, pieces of %d: got %d commands, the first with %d arguments; want 3, the first with an empty value",
					discardAfter, pieceSize, len(got), len(got[0].args))
			}
			if got[1].isIncomplete || len(got[1].args[1]) != size || got[1].reservedMemory != size || string(got[2].args[0]) != "PING" {
				t.Errorf("discarded after %d, pieces of %d: the commands behind are not as they were sent", discardAfter, pieceSize)
			}
			if want := granted - size; released != want {
				t.Errorf("discarded after %d, pieces of %d: %d bytes were released, want %d", discardAfter, pieceSize, released, want)
			}
		}
	}
}
