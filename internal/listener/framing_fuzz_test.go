package listener

import (
	"bytes"
	"slices"
	"testing"

	"github.com/tidwall/redcon"
)

// FuzzCommandReader checks that commandReader neither panics nor loops forever on any bytes, and that the commands are those that
// redcon's own reader finds.
func FuzzCommandReader(f *testing.F) {
	for _, seed := range []string{"*1\r\n$4\r\nPING\r\n", "*9223372036854775807\r\n", "*2\r\n$9223372036854775800\r\nx",
		"*2\r\n$0\r\n\r\n$1\r\na\r\n*1\r\n$-1\r\n", "PING\r\n", "*1\r\n$1\r\na\r\n*2\r\n$1\r\nb\r\n$0\r\n\r\n*"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := feedingReader{source: bytes.NewReader(input)}
		var accepted []byte // the bytes of all commands so far
		for range len(input) + 1 {
			received, err := reader.read()
			if err != nil {
				return
			}
			if len(received.args) == 0 {
				t.Fatal("got a command without a name, want an error")
			}
			accepted = redcon.AppendArray(accepted, len(received.args))
			for _, arg := range received.args {
				accepted = redcon.AppendBulk(accepted, arg)
			}
			commands, err := redcon.NewReader(bytes.NewReader(accepted)).ReadCommands()
			if err != nil || !slices.EqualFunc(commands[len(commands)-1].Args, received.args, bytes.Equal) {
				t.Fatalf("got %q, want the command that redcon reads: %q, %v", received.args, commands, err)
			}
		}
		t.Fatalf("got more commands than the %d bytes of the input", len(input))
	})
}
