package listener

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/request"
)

// Errors of commands. Clients get their texts behind "-ERR ": they must not change.
var (
	errUnknownCommand    = errors.New("unknown command")
	errInvalidKey        = errors.New("bad key")
	errInvalidRequestID  = errors.New("bad request id")
	errInvalidParameters = errors.New("bad list of names and values")
	errValueTooLarge     = errors.New("value is too large")
	errInvalidTimeout    = errors.New("bad d")
	errMissingTimeout    = errors.New("d is missing")
	errUnknownClass      = errors.New("unknown class")
)

// argumentCountError says that a command has too few or too many arguments. Clients get its text, as with the errors above.
type argumentCountError struct{ command string }

// Error returns the text for the client.
func (e argumentCountError) Error() string {
	return "wrong number of arguments for '" + e.command + "'"
}

// The parameters that the listener reads; others are passed on.
const (
	classParameter   = "c"
	tenantParameter  = "t"
	timeoutParameter = "d" // in milliseconds
)

// parseRequest makes a request of CACHE.GET key id parameters or CACHE.SET key id parameters value. The error says what is wrong with
// the command, as one of the errors above.
func (c *Core) parseRequest(receivedAt time.Time, command redcon.Command) (*request.Request, error) {
	parsed := &request.Request{ReceivedAt: receivedAt, IsWrite: isCommand(command.Args[0], setCommand)}
	wantArgs := 4
	if parsed.IsWrite {
		wantArgs = 5
	}
	if len(command.Args) != wantArgs {
		return nil, argumentCountError{command: string(command.Args[0])}
	}
	parsed.Key, parsed.ID, parsed.Parameters = command.Args[1], command.Args[2], command.Args[3]
	if parsed.IsWrite {
		parsed.Value = command.Args[4]
	}
	if err := c.checkArguments(parsed); err != nil {
		return nil, err
	}
	if err := c.parseParameters(parsed); err != nil {
		return nil, err
	}
	switch {
	case parsed.ClientTimeout == 0:
		return nil, errMissingTimeout
	case !c.classes[parsed.Class]:
		return nil, errUnknownClass
	}
	return parsed, nil
}

func (c *Core) checkArguments(r *request.Request) error {
	switch {
	case !isValidName(r.Key):
		return errInvalidKey
	case !isValidName(r.ID):
		return errInvalidRequestID
	case len(r.Parameters) > maxParametersLength || bytes.ContainsFunc(r.Parameters, isUnprintable):
		return errInvalidParameters
	case len(r.Value) > c.limits.MaxValue:
		return errValueTooLarge
	}
	return nil
}

func isValidName(name []byte) bool {
	return len(name) > 0 && len(name) <= maxKeyLength && !bytes.ContainsFunc(name, isUnprintable)
}

// isUnprintable keeps spaces and control characters out of what is passed on in the header of an HTTP request.
func isUnprintable(char rune) bool { return char <= ' ' || char >= 0x7f }

// parseParameters sets the fields of a request that its parameters name.
func (c *Core) parseParameters(r *request.Request) error {
	for rest := r.Parameters; len(rest) > 0; {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		name, value, isPair := bytes.Cut(pair, []byte{'='})
		if !isPair {
			return errInvalidParameters
		}
		switch string(name) {
		case classParameter:
			r.Class = string(value)
		case tenantParameter:
			r.Tenant = c.tenants[string(value)]
		case timeoutParameter:
			timeout, err := parseTimeout(value)
			if err != nil {
				return err
			}
			r.ClientTimeout = timeout
		}
	}
	return nil
}

// parseTimeout reads a number of milliseconds.
func parseTimeout(value []byte) (time.Duration, error) {
	milliseconds, err := strconv.Atoi(string(value))
	if err != nil || milliseconds <= 0 || milliseconds > int(maxClientTimeout.Milliseconds()) {
		return 0, errInvalidTimeout
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}
