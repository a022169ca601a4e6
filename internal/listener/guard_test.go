package listener

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

// pump reads through a guard, and gives it more whenever it wants more.
type pump struct {
	*guard
	from io.Reader
}

func (p pump) Read(b []byte) (int, error) {
	for {
		n, err := p.guard.Read(b)
		if err != errMore {
			return n, err
		}
		if n, err = p.from.Read(p.buf[:]); n == 0 {
			return 0, err
		}
		p.took(n)
	}
}

// rooms notes the largest buffer that it was asked to fill: redcon's reader passes what is left of its own.
type rooms struct {
	rd   io.Reader
	most int
}

func (r *rooms) Read(b []byte) (int, error) {
	r.most = max(r.most, len(b))
	return r.rd.Read(b)
}

// TestLongStreamsDoNotGrowTheBuffer: commands that come without a pause, each cut by the reads anywhere, and large
// values among them. Every one arrives as it was sent, and the buffer stays within twice the largest command.
func TestLongStreamsDoNotGrowTheBuffer(t *testing.T) {
	for name, size := range map[string]int{"small": 70, "near the guard's buffer": 4071, "large": 60 << 10} {
		t.Run(name, func(t *testing.T) {
			var sent bytes.Buffer
			count := max(300, 6<<20/size)
			value := strings.Repeat("v", size)
			for i := range count {
				sent.Write(redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), fmt.Sprint(i)), value[:size-i%61]))
			}
			r := &rooms{rd: pump{&guard{}, &sent}}
			rd := redcon.NewReader(r)
			for i := range count {
				cmd, err := rd.ReadCommand()
				if err != nil || len(cmd.Args) != 2 || string(cmd.Args[0]) != fmt.Sprint(i) || len(cmd.Args[1]) != size-i%61 {
					t.Fatalf("command %d of %d: %v, %d parts", i, count, err, len(cmd.Args))
				}
			}
			if _, err := rd.ReadCommand(); err != io.EOF {
				t.Errorf("after the last: %v", err)
			}
			if r.most > 2*(size+8<<10) {
				t.Errorf("the buffer grew to %d bytes for commands of %d", r.most, size)
			}
		})
	}
}
