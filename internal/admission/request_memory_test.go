package admission

import (
	"testing"

	"pgregory.net/rapid"
)

func TestLastQuarterOfRequestMemoryIsForWrites(t *testing.T) {
	memory := RequestMemory{Limit: 100 * bytesPerRequest}
	reads, writes := 0, 0
	for memory.Reserve(0, false) {
		reads++
	}
	for memory.Reserve(0, true) {
		writes++
	}
	if reads != 75 || writes != 25 {
		t.Errorf("got %d reads and %d writes, want 75 and 25", reads, writes)
	}
	if memory.Reserve(64<<10, true) {
		t.Error("got memory for a large value past the bound")
	}
	memory.Release(0)
	if memory.Reserve(0, false) {
		t.Error("got memory for a read in the part for writes")
	}
	if !memory.Reserve(0, true) {
		t.Error("got no memory for a write after a request ended")
	}
	if unbounded := (RequestMemory{}); !unbounded.Reserve(1<<30, false) {
		t.Error("got no memory from a RequestMemory without a limit")
	}
}

func TestRequestMemoryIsBoundedAndGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := RequestMemory{Limit: rapid.IntRange(1, 1<<20).Draw(t, "limit")}
		var reserved []int
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if len(reserved) > 0 && rapid.Bool().Draw(t, "give") {
				memory.Release(reserved[0])
				reserved = reserved[1:]
			} else if size := rapid.IntRange(0, 64<<10).Draw(t, "value"); memory.Reserve(size, rapid.Bool().Draw(t, "write")) {
				reserved = append(reserved, size)
			}
			if memory.used > memory.Limit || memory.used < 0 {
				t.Fatalf("got %d bytes in use, want 0 to %d", memory.used, memory.Limit)
			}
		}
		for _, size := range reserved {
			memory.Release(size)
		}
		if memory.used != 0 {
			t.Fatalf("got %d bytes in use after all requests ended, want 0", memory.used)
		}
	})
}
