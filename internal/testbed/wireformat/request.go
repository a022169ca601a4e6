package wireformat

import (
	"strconv"
	"strings"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
)

// MaxValue is the longest value, by the protocol.
const MaxValue = 64 << 10

// ParseRequest reads a command: its name, key, id, the list of names and values, and the value of a write.
func ParseRequest(classes map[string]scenario.Class, write bool, args [][]byte) (q model.Request, why string) {
	want := 4
	if write {
		want = 5
	}
	if len(args) != want {
		return q, "wrong number of arguments"
	}
	q = model.Request{Key: string(args[1]), ID: string(args[2]), Write: write}
	if q.Key == "" || q.ID == "" || strings.ContainsAny(q.ID, " \r\n") {
		return q, "no key or no id"
	}
	if write {
		if q.Size = len(args[4]); q.Size > MaxValue {
			return q, "value is too large"
		}
	}
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return q, "bad list of names and values"
		}
		switch name {
		case "c":
			q.Class = value
		case "d":
			ms, err := strconv.Atoi(value)
			if err != nil || ms <= 0 {
				return q, "bad d"
			}
			q.Deadline = time.Duration(ms) * time.Millisecond // from now; whoever knows the time adds it
		case "k":
			q.IdempotencyKey = value
		}
	}
	class, ok := classes[q.Class]
	switch {
	case !ok:
		return q, "unknown class"
	case q.Deadline == 0:
		return q, "d is missing"
	case class.Write != write:
		return q, "the class does not go with the command"
	}
	return q, ""
}
