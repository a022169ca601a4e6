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
	write   bool
	version int64 // that a read returned
}

// history is what clients saw of the records: whether it could have come of records that each took every write once, in some
// order that keeps with time, is checked by a library.
type history struct{ ops []porcupine.Operation }

// seen notes an answer. A write whose end is not known may have taken effect any time, or never.
func (h *history) seen(q *clientRequest, how string, value []byte, now Time) {
	ret := now
	op := operation{key: q.Key, write: q.isWrite}
	switch {
	case how == "served" && !op.write:
		parts := strings.SplitN(string(value), "|", 4)
		if len(parts) < 4 {
			return
		}
		op.version, _ = strconv.ParseInt(strings.TrimPrefix(parts[2], "v"), 10, 64)
	case how == "served":
	case how == "refused" || !op.write:
		return // never ran, or tells nothing
	default:
		ret = time.Hour
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: op, Call: int64(q.sentAt), Output: op, Return: int64(ret)})
}

// records is one key: its state is the number of writes that it took.
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
		if op.write {
			return true, version + 1
		}
		return op.version == version, version
	},
	DescribeOperation: func(input, _ any) string {
		op := input.(operation)
		if op.write {
			return "write " + op.key
		}
		return fmt.Sprintf("read %s: v%d", op.key, op.version)
	},
}

// patience bounds the search; a history that takes longer tells nothing.
const patience = 500 * time.Millisecond

// judge checks the history.
func (h *history) judge(w *world) {
	if porcupine.CheckOperationsTimeout(records, h.ops, patience) != porcupine.Illegal {
		return
	}
	for _, part := range records.Partition(h.ops) { // name one record that does not fit
		if porcupine.CheckOperationsTimeout(records, part, patience) == porcupine.Illegal {
			w.violation(InvariantLinearizable, "what clients saw of %s cannot be: %d operations", part[0].Input.(operation).key, len(part))
			return
		}
	}
}
