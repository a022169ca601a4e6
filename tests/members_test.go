package tests

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
)

type memberView struct {
	Node  int
	State string
	Life  uint64 `json:"started_ms"`
}

// view is what a node says of all nodes.
func (f *fleet) view(i int) (all []memberView) {
	_, body, _ := strings.Cut(f.look(i, "members"), "\r\n\r\n")
	json.Unmarshal([]byte(body), &all)
	return all
}

// known waits until all nodes but one say of a node that it is in one of some states, and tells its life.
func (f *fleet) known(what string, node, but int, states ...string) (life uint64) {
	f.until(what, func() bool {
		for i := range f.nodes {
			all := f.view(i)
			if i == but {
				continue
			}
			if len(all) != len(f.nodes) || !strings.Contains(strings.Join(states, " "), all[node].State) {
				return false
			}
			life = all[node].Life
		}
		return true
	})
	return life
}

// TestMembersAreKnown: real nodes, a tenth of whose datagrams is lost, twice and garbled, know who of them is there: one is killed
// and comes back, one is stopped and goes on, one ends in order, the fleet falls apart and comes together.
func TestMembersAreKnown(t *testing.T) {
	f := newFleet(t, 5, 0, 0.1, "[members]\non = true\nperiod = \"100ms\"\nwait = \"50ms\"\nsuspicion = 3")
	there := []string{"alive", "suspect"}
	all := func(what string) {
		for i := range f.nodes {
			f.known(fmt.Sprintf("%s: all know that node %d is there", what, i), i, -1, there...)
		}
	}
	all("at the start")
	f.until("the work is shared by five", func() bool { return strings.Contains(f.nodes[0].log.String(), `"event":"member_count","nodes":5`) })
	if why := f.ctl(0, "explain", "some-key"); !strings.Contains(why, `"key":"some-key"`) || !strings.Contains(why, `"server":"s0","zone":"a","warmth":1,"keeps":1`) {
		t.Errorf("where a key goes: %s", why)
	}
	first := f.known("node 2 is there", 2, -1, there...)

	f.setDown(2, true)
	f.signal(2, syscall.SIGKILL)
	f.known("all know that node 2 was killed", 2, 2, "dead")
	f.until("the work is shared by four", func() bool { return strings.Contains(f.nodes[0].log.String(), `"event":"member_count","nodes":4`) })
	f.setDown(2, false)
	if later := f.known("node 2 is back", 2, -1, there...); later <= first {
		t.Errorf("node 2 is back under a life of %d, after %d", later, first)
	}

	f.signal(1, syscall.SIGSTOP)
	f.known("all know that node 1 was stopped", 1, 1, "dead")
	f.signal(1, syscall.SIGCONT)
	all("after one goes on")

	f.setDown(3, true)
	f.signal(3, syscall.SIGTERM)
	f.known("all know that node 3 ended", 3, 3, "left")
	f.setDown(3, false)
	all("after one came back")

	f.relay.Split(3)
	f.until("each part has the others for dead", func() bool {
		a, b := f.view(0), f.view(4)
		return len(a) == 5 && len(b) == 5 && a[3].State == "dead" && a[4].State == "dead" && b[0].State == "dead" && b[1].State == "dead" && b[2].State == "dead"
	})
	f.until("the lesser part goes by the configuration", func() bool { return strings.Contains(f.nodes[4].log.String(), `"event":"member_count","nodes":0`) })
	f.relay.Split(0)
	all("after the fleet came together")
}
