package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is one read or write of a record, as the client observed it.
type operation struct {
	key     string
	isWrite bool
	version int64 // for a read: the version that it returned
}

// history holds the reads and writes that the clients observed. The porcupine library checks that the history is linearizable:
// an order of the operations that agrees with real time has to explain all reads, if each write is applied once.
type history struct{ operations []porcupine.Operation }

// unknownEnd is the time that is recorded as the end of a write whose result is unknown. It is after the end of every run, because
// the write may take effect at any time, or never.
const unknownEnd = time.Hour

// record adds a request and its result to the history.
func (h *history) record(request *clientRequest, result string, value []byte, now Time) {
	end := now
	op := operation{key: request.Key, isWrite: request.isWrite}
	switch {
	case result == "served" && !op.isWrite:
		parts := strings.SplitN(string(value), "|", 4)
		if len(parts) < 4 {
			return
		}
		op.version, _ = strconv.ParseInt(strings.TrimPrefix(parts[2], "v"), 10, 64) // version 0 if the text is not a number: ParseInt then returns 0
	case result == "served":
	case result == "refused" || !op.isWrite:
		return // a rejected request was never executed, and a read without a value tells nothing about the record
	default:
		end = unknownEnd
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: len(h.operations), Input: op, Call: int64(request.sentAt), Output: op, Return: int64(end)})
}

// recordModel describes the records to porcupine. Each key is a record of its own. The state of a record is its version: the
// number of writes that were applied to it.
var recordModel = porcupine.Model{
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

// checkTimeout bounds the search of porcupine, the library that checks a history. A history whose check takes longer counts as
// linearizable.
const checkTimeout = 500 * time.Millisecond

// check checks that the history is linearizable. If it is not, check reports a violation for one record whose own history is not
// linearizable.
func (h *history) check(w *world) {
	if porcupine.CheckOperationsTimeout(recordModel, h.operations, checkTimeout) != porcupine.Illegal {
		return
	}
	for _, part := range recordModel.Partition(h.operations) {
		if porcupine.CheckOperationsTimeout(recordModel, part, checkTimeout) == porcupine.Illegal {
			w.violation(InvariantLinearizable, "what clients saw of %s cannot be: %d operations", part[0].Input.(operation).key, len(part))
			return
		}
	}
}
