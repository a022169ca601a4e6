package listener

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// TestInvalidRequestIsRejectedForItsFirstError checks the error of each kind of invalid command. A command with several errors gets
// the one that is checked first.
func TestInvalidRequestIsRejectedForItsFirstError(t *testing.T) {
	const parameters = "c=read,d=3000"
	for _, test := range []struct {
		name string
		args []string
		want error // nil: the command is valid
	}{
		{"valid read", []string{"CACHE.GET", "k", "id", parameters}, nil},
		{"valid write", []string{"cache.set", "k", "id", parameters, "value"}, nil},
		{"read with a value", []string{"CACHE.GET", "k", "id", parameters, "value"}, argumentCountError{"CACHE.GET"}},
		{"write without a value", []string{"cache.set", "k", "id", parameters}, argumentCountError{"cache.set"}},
		{"no key", []string{"CACHE.GET", "", "", parameters}, errInvalidKey},
		{"key too long", []string{"CACHE.GET", strings.Repeat("k", maxKeyLength+1), "id", parameters}, errInvalidKey},
		{"key with a space", []string{"CACHE.GET", "k k", "id", parameters}, errInvalidKey},
		{"no request id", []string{"CACHE.GET", "k", "", "?"}, errInvalidRequestID},
		{"parameters too long", []string{"CACHE.GET", "k", "id", parameters + "," + strings.Repeat("x", maxParametersLength)}, errInvalidParameters},
		{"timeout that is no number", []string{"CACHE.GET", "k", "id", "d=0x,c"}, errInvalidTimeout},
		{"parameter without a value", []string{"CACHE.GET", "k", "id", "c,d=0x"}, errInvalidParameters},
		{"value too large", []string{"CACHE.SET", "k", "id", "c", "12345678901"}, errValueTooLarge},
		{"timeout of zero", []string{"CACHE.GET", "k", "id", "c=read,d=0"}, errInvalidTimeout},
		{"timeout too long", []string{"CACHE.GET", "k", "id", "c=read,d=3600001"}, errInvalidTimeout},
		{"no timeout", []string{"CACHE.GET", "k", "id", "c=none"}, errMissingTimeout},
		{"unknown class", []string{"CACHE.GET", "k", "id", "c=none,d=1"}, errUnknownClass},
	} {
		t.Run(test.name, func(t *testing.T) {
			core := newTestCore(time.Unix(1000, 0), Limits{MaxConnections: 4, MaxValue: 10})
			var command redcon.Command
			for _, arg := range test.args {
				command.Args = append(command.Args, []byte(arg))
			}
			_, err := core.parseRequest(time.Unix(1000, 0), command.Args)
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}
