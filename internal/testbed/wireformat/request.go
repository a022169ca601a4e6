package wireformat

import (
	"strconv"
	"strings"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
)

// ParseRequest decodes the arguments of a command: its name, the key, the request id, the list of names and values, and
// the value of a write. The Deadline of the request is a duration from now, to which the caller adds the current time.
// reason says what is wrong with the command. It is empty if the command is valid.
func ParseRequest(classes map[string]scenario.Class, write bool, args [][]byte) (request model.Request, reason string) {
	numArgs := 4
	if write {
		numArgs = 5
	}
	if len(args) != numArgs {
		return request, "wrong number of arguments"
	}
	request = model.Request{Key: string(args[1]), ID: string(args[2]), Write: write}
	if request.Key == "" || request.ID == "" || strings.ContainsAny(request.ID, " \r\n") {
		return request, "no key or no id"
	}
	if write {
		request.Size = len(args[4])
	}
	if request.Size > MaxValue {
		return request, "value is too large"
	}
	if reason := parseFields(&request, string(args[3])); reason != "" {
		return request, reason
	}
	return request, validateClass(classes, &request)
}

// parseFields decodes a list of names and values such as "c=read,d=900". Unknown names are ignored.
func parseFields(request *model.Request, list string) (reason string) {
	for pair := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return "bad list of names and values"
		}
		switch name {
		case "c":
			request.Class = value
		case "d":
			ms, err := strconv.Atoi(value)
			if err != nil || ms <= 0 {
				return "bad d"
			}
			request.Deadline = time.Duration(ms) * time.Millisecond
		case "k":
			request.IdempotencyKey = value
		}
	}
	return ""
}

// validateClass checks that a request has a deadline and a known class, and that its command is allowed for the class.
func validateClass(classes map[string]scenario.Class, request *model.Request) (reason string) {
	class, ok := classes[request.Class]
	switch {
	case !ok:
		return "unknown class"
	case request.Deadline == 0:
		return "d is missing"
	case class.Write != request.Write:
		return "the class does not go with the command"
	}
	return ""
}
