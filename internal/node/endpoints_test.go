package node

import (
	"testing"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/policy"
)

// TestSuccessorSupersedesServerAtItsAddress checks lists that name a server which started at the address of another one. The list
// may still call the earlier server up, or name it again later. The earlier server must count as removed, in whatever order the
// two are named. If both started long ago, both stay.
func TestSuccessorSupersedesServerAtItsAddress(t *testing.T) {
	predecessor := discovery.Server{ID: "s", Addr: "h:1", Kind: "box", Weight: 1}
	successor := discovery.Server{ID: "t", Addr: "h:1", Kind: "box", Weight: 1, StartedMs: 7}
	elsewhere := discovery.Server{ID: "t", Addr: "h:9", Kind: "box", Weight: 1, StartedMs: 7}
	sameStart := discovery.Server{ID: "t", Addr: "h:1", Kind: "box", Weight: 1}
	for _, test := range []struct {
		name         string
		lists        []discovery.List
		isSuperseded bool
	}{
		{"a change", []discovery.List{{Servers: []discovery.Server{successor}}}, true},
		{"a full list with both", []discovery.List{{IsFull: true, Servers: []discovery.Server{successor, predecessor}}}, true},
		{"the predecessor named last", []discovery.List{{Servers: []discovery.Server{successor}}, {Servers: []discovery.Server{predecessor}}}, true},
		{"at another address", []discovery.List{{Servers: []discovery.Server{elsewhere}}}, false},
		{"both started long ago", []discovery.List{{Servers: []discovery.Server{sameStart}}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			core := newTestNode(t).core
			for _, list := range test.lists {
				scope := policy.DeltaUpdate
				if list.IsFull {
					scope = policy.FullUpdate
				}
				core.updateEndpoints(list, scope)
			}
			known := core.endpoints["s"]
			if got := known == nil || known.State == discovery.Removed; got != test.isSuperseded {
				t.Errorf("the predecessor is removed: %v, want %v", got, test.isSuperseded)
			}
			if added := core.endpoints["t"]; added == nil || added.State != discovery.Up {
				t.Errorf("the successor is %+v, want it up", added)
			}
		})
	}
}
