package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is one read or write as its client saw it.
type operation struct {
	key     string
	isWrite bool
	version int64 // that a read returned
}

// history is what clients saw of the records. A library checks that it is linearizable: that it could have come of records that each
// applied every write once, in an order that agrees with real time.
type history struct{ operations []porcupine.Operation }

// unknownEnd stands for the end of a write whose result is unknown: it may take effect at any time, or never.
const unknownEnd = time.Hour

// record adds the result of a request.
func (h *history) record(request *clientRequest, result string, value []byte, now Time) {
	end := now
	op := operation{key: request.Key, isWrite: request.isWrite}
	switch {
	case result == "served" && !op.isWrite:
		parts := strings.SplitN(string(value), "|", 4)
		if len(parts) < 4 {
			return
		}
		op.version, _ = strconv.ParseInt(strings.TrimPrefix(parts[2], "v"), 10, 64) // 0 where it is no version
	case result == "served":
	case result == "refused" || !op.isWrite:
		return // it never ran, or shows nothing
	default:
		end = unknownEnd
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: op, Call: int64(request.sentAt), Output: op, Return: int64(end)})
}

// records models each key on its own: its state is the number of writes that it has applied.
var records = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		var out [][]porcupine.Operation
		at := map[string]int{}
		for _, op := range ops {
			key := op.Input.(operation).key
			i, ok := at[key]
			if !ok {
				i = len(out)
				at[key], out = i, append(out, nil)
			}
			out[i] = append(out[i], op)
		}
		return out
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		op, version := input.(operation), state.(int64)
		if op.isWrite {
			return true, version + 1
		}
		return op.version == version, version
	},
	DescribeOperation: func(input, _ any) string {
		op := input.(operation)
		if op.isWrite {
			return "write " + op.key
		}
		return fmt.Sprintf("read %s: v%d", op.key, op.version)
	},
}

// checkTimeout bounds the search; a history that takes longer counts as linearizable.
const checkTimeout = 500 * time.Millisecond

// check checks the history and names one record that does not fit.
func (h *history) check(w *world) {
	if porcupine.CheckOperationsTimeout(records, h.operations, checkTimeout) != porcupine.Illegal {
		return
	}
	for _, part := range records.Partition(h.operations) {
		if porcupine.CheckOperationsTimeout(records, part, checkTimeout) == porcupine.Illegal {
			w.violation(InvariantLinearizable, "what clients saw of %s cannot be: %d operations", part[0].Input.(operation).key, len(part))
			return
		}
	}
}
