package listener

import (
	"bytes"
	"testing"

	"github.com/tidwall/redcon"
)

// redcon's reader must neither panic nor hang on anything that the guard lets through.
func FuzzGuard(f *testing.F) {
	for _, s := range []string{"*1\r\n$4\r\nPING\r\n", "*9223372036854775807\r\n", "*2\r\n$9223372036854775800\r\nx",
		"*2\r\n$0\r\n\r\n$1\r\na\r\n*1\r\n$-1\r\n", "PING\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		rd := redcon.NewReader(pump{&guard{}, bytes.NewReader(b)})
		for range len(b) + 1 {
			if cmd, err := rd.ReadCommand(); err != nil {
				return
			} else if len(cmd.Args) == 0 {
				t.Fatal("a command without a name")
			}
		}
		t.Fatal("more commands than bytes")
	})
}
