package simulation

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var mutants = flag.Bool("sim.mutants", false, "build the program with each of its known faults and see that simulate finds it")

var which = flag.String("sim.mutant", "", "with -sim.mutants: those whose names hold this")

// mutant is a build that is known to be broken: one text of a file replaced by another.
type mutant struct {
	name, file, old, new string
	also                 *mutant // where two places guard the same rule
	fleet                bool    // found by what nodes agree on
}

var known = []mutant{
	{"resent after it may have run", "internal/policy/brain.go", "if q.risk == nil || q.class.Effect == Safe {", "if q != nil {", nil, false},
	{"refused after it may have run", "internal/policy/brain.go", "if q.risk == nil || c.Effect == Safe || c.Effect == Keyed && c.Group == AllServers {", "if c != nil {", nil, false},
	{"drained servers get new work", "internal/policy/router.go", "return !origin && s.listed && s.State == Live", "return !origin && s.listed",
		&mutant{file: "internal/forward/core.go", old: "p.addr, p.left = addr, left", new: "left = false\n\tp.addr, p.left = addr, left"}, false},
	{"watch never found silent", "internal/discovery/follower.go", "silence      = 5 * time.Second", "silence      = 5 * time.Hour", nil, false},
	{"answered twice", "internal/listener/core.go", "c.slots = append(c.slots[:0:0], c.slots[n:]...)", "c.slots = append(c.slots[:0:0], c.slots[n-1:]...)", nil, false},
	{"deadline too late", "internal/node/core.go", "deadline: f.Taken.Add(max(wait-transit, time.Millisecond))", "deadline: f.Taken.Add(wait + 200*time.Millisecond)", nil, false},
	{"dirty connection handed on", "internal/forward/core.go", "case c.Decoder.Buffered() > 0 && (len(c.pending) == 0 || !c.pending[0].written):", "case c == nil:",
		&mutant{file: "internal/forward/core.go", old: "if len(c.pending) == 0 || !c.pending[0].written {", new: "if len(c.pending) == 0 {",
			also: &mutant{file: "internal/forward/core.go", old: "if stale && c.Quiet() {", new: "if c == nil {"}}, false},
	{"waiter not woken", "internal/forward/core.go", "case len(p.waiting) > 0:\n\t\tp.push(c, p.pop(), fx)", "case len(p.waiting) > 1000:\n\t\tp.push(c, p.pop(), fx)", nil, false},
	{"request ids leak", "internal/node/core.go", "delete(n.ids, string(s.ID))", "", nil, false},
	{"said never to have run", "internal/forward/core.go", "if !whole {\n\t\tf.written = false", "if f != nil {\n\t\tf.written = false", nil, false},
	{"room of long answers leaks", "internal/target/target.go", "d.room.Give(d.took)", "d.room.Give(0)", nil, false},
	{"garbage of clients is not answered", "internal/listener/core.go", "l.finish(now, c, fx)\n\t\t\tl.wake(c, fx)", "", nil, false},
	{"given up as if not written", "internal/forward/core.go", "p.next(now, c, fx)\n\treturn f.written", "p.next(now, c, fx)\n\treturn false", nil, false},
	{"cold budget ignored", "internal/policy/brain.go", "if warmth == 1 {", "if warmth <= 1 {", &mutant{file: "internal/policy/brain.go", old: "weight := r.warmth(s)", new: "weight := 1.0"}, false},

	{"a duty is held past its lease", "internal/lease/core.go", "d.held && now < d.until {", "d.held {", &mutant{file: "internal/lease/core.go",
		old: "if d.held && now >= d.until {", new: "if c == nil {"}, true},
	{"a duty is granted to two", "internal/lease/core.go", "case d.to != None && d.to != from && now < d.granted && d.settled:", "case c == nil:",
		&mutant{file: "internal/lease/core.go", old: "case d.to != None && d.to != from && now < d.granted:", new: "case c == nil:"}, true},
	{"a node that starts grants duties at once", "internal/lease/core.go", "return c.cfg.Nodes > 1 && float64(now-c.begun)", "return c.cfg.Nodes > 99 && float64(now-c.begun)", nil, true},
	{"half of the fleet is a majority for duties", "internal/lease/core.go", "return nodes/2 + 1", "return (nodes + 1) / 2", nil, true},
	{"half of the fleet is a majority for drains", "internal/rollout/core.go", "return nodes/2 + 1", "return (nodes + 1) / 2", nil, true},
	{"a node that starts grants slots at once", "internal/rollout/core.go", "if c.cfg.Nodes == 1 {", "if c.cfg.Nodes > 0 {", nil, true},
	{"a slot is granted twice", "internal/rollout/core.go", "case g.Slot == a.Slot || same && g.Zone == a.Zone:", "case false && same:", nil, true},
	{"an order takes back an operator's wish", "internal/rollout/core.go", "return c.asked || seen", "return c.asked && c.order.Epoch == 0 || seen", nil, true},
	{"the way back keeps slots", "internal/rollout/core.go", "if c.trying || c.held { // the way back", "if c.trying && c.held { // the way back", nil, true},
	{"nobody refutes that it is dead", "internal/fleet/membership/core.go", "me.word = n.word + 1", "", nil, true},
	{"suspects never die", "internal/fleet/membership/core.go", "m.state == Suspect && now-m.since >= c.Suspicion()", "m.state == Left", nil, true},
	{"the dead are never asked", "internal/fleet/membership/core.go", "if len(away) > 0 && (", "if len(away) > 99 && (", nil, true},
}

// TestMutants shows that simulate finds known faults, and within how many seeds.
func TestMutants(t *testing.T) {
	if !*mutants {
		t.Skip("without -sim.mutants")
	}
	root, err := filepath.Abs("../../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range known {
		if !strings.Contains(m.name, *which) {
			continue
		}
		dir := t.TempDir()
		if out, err := exec.Command("cp", "-r", filepath.Join(root, "cmd"), filepath.Join(root, "internal"),
			filepath.Join(root, "lab"), filepath.Join(root, "go.mod"), filepath.Join(root, "go.sum"), dir).CombinedOutput(); err != nil {
			t.Fatal(string(out))
		}
		for change := &m; change != nil; change = change.also {
			path := filepath.Join(dir, change.file)
			text, err := os.ReadFile(path)
			if err != nil || strings.Count(string(text), change.old) != 1 {
				t.Fatalf("%s: %q stands %d times in %s", m.name, change.old, strings.Count(string(text), change.old), change.file)
			}
			os.WriteFile(path, []byte(strings.Replace(string(text), change.old, change.new, 1)), 0o600)
		}
		build := exec.Command("go", "build", "-o", "testbed", "./cmd/testbed")
		build.Dir = dir
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%s: %s", m.name, out)
		}
		play := exec.Command(filepath.Join(dir, "testbed"), "simulate", "--seeds", "2000", "--first")
		if m.fleet {
			play.Args = append(play.Args, "--fleet")
		}
		out, err := play.CombinedOutput()
		first, what := 0, ""
		for line := range strings.Lines(string(out)) {
			var seed int
			if _, found, ok := strings.Cut(line, "BROKEN "); ok && what == "" {
				fmt.Sscanf(line, "seed %d:", &seed)
				first, what = seed+1, strings.Fields(found)[0]
			}
		}
		if err == nil || what == "" {
			t.Errorf("%s: not found in 2000 seeds", m.name)
			continue
		}
		t.Logf("| %s | %d | `%s` |", m.name, first, what)
	}
}
