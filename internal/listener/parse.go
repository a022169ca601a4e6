package listener

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"shelfproxy/internal/request"
)

// Errors of invalid commands. Clients receive their texts after "-ERR ", so the texts must not change.
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

// argumentCountError reports that a command has too few or too many arguments. Clients receive its text, so the text must not
// change.
type argumentCountError struct{ command string }

// Error returns the text for the client.
func (e argumentCountError) Error() string {
	return "wrong number of arguments for '" + e.command + "'"
}

// The names of the parameters that the listener reads. Other parameters are passed on unread.
const (
	classParameter   = "c"
	tenantParameter  = "t"
	timeoutParameter = "d" // in milliseconds
)

// parseRequest returns the request of a command "CACHE.GET key id parameters" or "CACHE.SET key id parameters value". If the
// command is invalid, it returns an error whose text is sent to the client.
func (c *Core) parseRequest(receivedAt time.Time, args [][]byte) (*request.Request, error) {
	parsed := &request.Request{ReceivedAt: receivedAt, IsWrite: isCommand(args[0], setCommand)}
	wantArgs := 4
	if parsed.IsWrite {
		wantArgs = 5
	}
	if len(args) != wantArgs {
		return nil, argumentCountError{command: string(args[0])}
	}
	parsed.Key, parsed.ID, parsed.Parameters = args[1], args[2], args[3]
	if parsed.IsWrite {
		parsed.Value = args[4]
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

// isUnprintable reports whether char is a space or not a printable ASCII character. Keys, ids and parameters are passed on in the
// header of an HTTP request, so they must not hold such characters.
func isUnprintable(char rune) bool { return char <= ' ' || char >= 0x7f }

// parseParameters sets the class, tenant and timeout of a request from its parameters.
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

// parseTimeout parses a timeout in milliseconds, from 1 up to maxClientTimeout.
func parseTimeout(value []byte) (time.Duration, error) {
	milliseconds, err := strconv.Atoi(string(value))
	if err != nil || milliseconds <= 0 || milliseconds > int(maxClientTimeout.Milliseconds()) {
		return 0, errInvalidTimeout
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}
