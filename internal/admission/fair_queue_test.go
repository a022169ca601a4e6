package admission

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestPipelineOfOneConnectionDoesNotDelayOthers guards against one connection with hundreds of commands that delays the
// commands of others. It also checks that an item of a higher cost waits longer, and that a full queue accepts no
// further item.
func TestPipelineOfOneConnectionDoesNotDelayOthers(t *testing.T) {
	queue := &FairQueue[string]{Quantum: 2, MaxPerConnection: 200}
	for i := range 250 {
		if got, want := queue.Add(1, 1, fmt.Sprint("a", i)), i < 200; got != want {
			t.Fatalf("item %d of a connection: got taken %v, want %v", i, got, want)
		}
	}
	if !queue.Add(2, 1, "b0") || !queue.Add(3, 5, "c0") {
		t.Fatal("an item of another connection was not taken")
	}
	var got []string
	for {
		value, _, ok := queue.Next()
		if !ok {
			break
		}
		got = append(got, value)
	}
	if len(got) != 202 || queue.Len() != 0 {
		t.Errorf("got %d items out and %d left, want 202 and 0", len(got), queue.Len())
	}
	if b, c := slices.Index(got, "b0"), slices.Index(got, "c0"); b > 2 || c < 3 || c > 9 {
		t.Errorf("got b0 as number %d and c0 as number %d, want b0 up to 2 and c0 from 3 to 9", b, c)
	}
	ofFirst := slices.DeleteFunc(got, func(value string) bool { return value[0] != 'a' })
	if !slices.IsSortedFunc(ofFirst, func(a, b string) int { return len(a) - len(b) }) {
		t.Error("the items of a connection changed their order")
	}
	if len(queue.queues) != 0 {
		t.Errorf("got %d empty queues kept, want none", len(queue.queues))
	}
}

// fairQueueModel counts the items added to and taken from a queue, by connection. The value of an item is the number of
// items that its connection had added before.
type fairQueueModel struct {
	*rapid.T
	queue             *FairQueue[int]
	maxPerConnection  int
	added, takenCount map[uint64]int
}

func (m *fairQueueModel) add(id uint64) {
	if m.queue.Add(id, rapid.IntRange(1, 6).Draw(m.T, "cost"), m.added[id]) {
		m.added[id]++
	} else if waiting := m.added[id] - m.takenCount[id]; waiting < m.maxPerConnection {
		m.Fatalf("connection %d is full with %d items", id, waiting)
	}
}

// take takes one item out of the queue, if any waits, and checks that it is the next one of its connection.
func (m *fairQueueModel) take() (ok bool) {
	value, id, ok := m.queue.Next()
	if !ok {
		return false
	}
	if value != m.takenCount[id] {
		m.Fatalf("connection %d: got item %d, want %d", id, value, m.takenCount[id])
	}
	m.takenCount[id]++
	return true
}

func (m *fairQueueModel) waiting() (items int) {
	for id := range m.added {
		items += m.added[id] - m.takenCount[id]
	}
	return items
}

func TestItemsOfEachConnectionComeOutOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		model := &fairQueueModel{T: r, maxPerConnection: 20, added: map[uint64]int{}, takenCount: map[uint64]int{},
			queue: &FairQueue[int]{Quantum: rapid.IntRange(1, 4).Draw(r, "quantum"), MaxPerConnection: 20}}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			id := uint64(rapid.IntRange(0, 5).Draw(r, "id"))
			if rapid.Bool().Draw(r, "add") {
				model.add(id)
			} else {
				model.take()
			}
			if got, want := model.queue.Len(), model.waiting(); got != want {
				r.Fatalf("got %d items waiting, want %d", got, want)
			}
		}
		for model.take() {
		}
		for id, added := range model.added {
			if got := model.takenCount[id]; got != added {
				r.Fatalf("connection %d: got %d items out, want %d", id, got, added)
			}
		}
	})
}
