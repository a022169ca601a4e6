package listener

import (
	"bytes"
	"testing"

	"github.com/tidwall/redcon"
)

// FuzzGuard checks that redcon's reader neither panics nor loops forever on any bytes that a framingGuard lets through.
func FuzzGuard(f *testing.F) {
	for _, seed := range []string{"*1\r\n$4\r\nPING\r\n", "*9223372036854775807\r\n", "*2\r\n$9223372036854775800\r\nx",
		"*2\r\n$0\r\n\r\n$1\r\na\r\n*1\r\n$-1\r\n", "PING\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := redcon.NewReader(feedingReader{&framingGuard{}, bytes.NewReader(input)})
		for range len(input) + 1 {
			command, err := reader.ReadCommand()
			if err != nil {
				return
			}
			if len(command.Args) == 0 {
				t.Fatal("got a command without a name, want an error")
			}
		}
		t.Fatalf("got more commands than the %d bytes of the input", len(input))
	})
}
