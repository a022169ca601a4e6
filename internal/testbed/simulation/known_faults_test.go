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

var (
	playKnownFaults  = flag.Bool("sim.mutants", false, "build the program with each of its known faults and check that simulate finds it")
	knownFaultFilter = flag.String("sim.mutant", "", "with -sim.mutants: only faults whose names contain this")
)

// knownFault is a fault to put into the program: one text of a file replaced by another.
type knownFault struct {
	name, file, old, new string
	also                 *knownFault // where two places guard the same invariant
	fleet                bool        // found by simulate --fleet
}

var knownFaults = []knownFault{
	{"resent after it may have run", "internal/policy/retry.go", "if req.possiblyExecuted == nil || req.class.Effect == Idempotent {\n\t\treturn true\n\t}\n\tearlier", "if req != nil {\n\t\treturn true\n\t}\n\tearlier", nil, false},
	{"refused after it may have run", "internal/policy/retry.go", "return req.class.Effect == Deduplicated && req.class.DedupScope == AllServers", "return true", nil, false},
	{"drained servers get new work", "internal/policy/server.go", "return !r.isOriginKind(srv) && srv.isListed && srv.State == Live", "return !r.isOriginKind(srv) && srv.isListed",
		&knownFault{file: "internal/upstream/core.go", old: "c.addr, c.isDraining = addr, isDraining", new: "isDraining = false\n\tc.addr, c.isDraining = addr, isDraining"}, false},
	{"watch never found silent", "internal/discovery/polling/schedule.go", "WatchTimeout = 3 * time.Second", "WatchTimeout = 5 * time.Hour", nil, false},
	{"answered twice", "internal/listener/responses.go", "conn.slots = append(conn.slots[:0:0], conn.slots[written:]...)", "conn.slots = append(conn.slots[:0:0], conn.slots[written-1:]...)", nil, false},
	{"deadline too late", "internal/node/requests.go", "deadline: r.ReceivedAt.Add(max(timeout-clientTransitTime, minRequestTimeout))", "deadline: r.ReceivedAt.Add(timeout + 200*time.Millisecond)", nil, false},
	{"dirty connection handed on", "internal/upstream/transfer.go", "case conn.Decoder.Buffered() > 0 && !conn.mayReceive():", "case conn == nil:",
		&knownFault{file: "internal/upstream/transfer.go", old: "if !conn.mayReceive() {", new: "if len(conn.pending) == 0 {",
			also: &knownFault{file: "internal/upstream/transfer.go", old: "if isStale && conn.IsSoleAttemptUnwritten() {", new: "if conn == nil {"}}, false},
	{"waiter not woken", "internal/upstream/assign.go", "case len(c.waiting) > 0:\n\t\tc.enqueue(conn, c.popWaiting(), effects)", "case len(c.waiting) > 1000:\n\t\tc.enqueue(conn, c.popWaiting(), effects)", nil, false},
	{"request ids leak", "internal/node/requests.go", "delete(c.ids, string(open.ID))", "", nil, false},
	{"said never to have run", "internal/upstream/transfer.go", "if !isComplete {\n\t\tattempt.possiblyExecuted = false", "if attempt != nil {\n\t\tattempt.possiblyExecuted = false", nil, false},
	{"room of long answers leaks", "internal/upstream/resp/decoder.go", "d.memory.Release(d.reserved)", "d.memory.Release(0)", nil, false},
	{"garbage of clients is not answered", "internal/listener/commands.go", "c.finish(now, conn, EndedBadFraming, effects)\n\tc.notifyWriter(conn, effects)", "", nil, false},
	{"given up as if not written", "internal/upstream/abandon.go", "c.dequeue(now, attempt, effects)\n\treturn attempt.possiblyExecuted", "c.dequeue(now, attempt, effects)\n\treturn false", nil, false},
	{"cold budget ignored", "internal/policy/hotkey.go", "if r.isWarmingUp(srv) {", "if srv == nil {", &knownFault{file: "internal/policy/routing.go", old: "weight := r.slowStartWeight(srv)", new: "weight := 1.0"}, false},

	{"a duty is held past its lease", "internal/fleet/lease/core.go", "r.own.isAcquired && now < r.own.expiresAt {", "r.own.isAcquired {",
		&knownFault{file: "internal/fleet/lease/resource.go", old: "if r.own.isAcquired && now >= r.own.expiresAt {", new: "if c == nil {"}, true},
	{"a duty is granted to two", "internal/fleet/lease/resource.go", "if reason := r.grant.conflict(from, token); reason != ReasonGranted {", "if reason := r.grant.conflict(from, token); c == nil {", nil, true},
	{"a node that starts grants duties at once", "internal/fleet/lease/core.go", "return c.cfg.Nodes > 1 && !agreement.HasExpired(", "return c.cfg.Nodes > 99 && !agreement.HasExpired(", nil, true},
	{"half of the fleet is a majority for duties", "internal/fleet/lease/core.go", "return agreement.Majority(c.cfg.Nodes)", "return (c.cfg.Nodes + 1) / 2", nil, true},
	{"half of the fleet is a majority for drains", "internal/fleet/rollout/core.go", "return agreement.Majority(c.cfg.Nodes)", "return (c.cfg.Nodes + 1) / 2", nil, true},
	{"a node that starts grants slots at once", "internal/fleet/rollout/slot.go", "if c.cfg.Nodes == 1 {", "if c.cfg.Nodes > 0 {", nil, true},
	{"a slot is granted twice", "internal/fleet/rollout/slot.go", "return record.Slot == request.Slot || c.isInZone(record, request) && record.ZoneSlot == request.ZoneSlot", "return false", nil, true},
	{"an order takes back an operator's wish", "internal/fleet/rollout/halt.go", "return c.isDrainRequested || hasReported", "return c.isDrainRequested && c.order.Epoch == 0 || hasReported", nil, true},
	{"the way back keeps slots", "internal/fleet/rollout/request.go", "if request.isPending || request.isGranted { // the order", "if request.isPending && request.isGranted { // the order", nil, true},
	{"nobody refutes that it is dead", "internal/fleet/membership/suspicion.go", "self.refutations = u.refutations + 1", "", nil, true},
	{"suspects never die", "internal/fleet/membership/suspicion.go", "m.state == Suspect && now-m.since >= c.SuspicionTimeout()", "m.state == Left", nil, true},
	{"the dead are never asked", "internal/fleet/membership/probe.go", "if len(absent) > 0 && (", "if len(absent) > 99 && (", nil, true},
}

// moduleRoot is the project's root, seen from this package.
const moduleRoot = "../../.."

// apply replaces the fault's texts in a copy of the project below root.
func (f *knownFault) apply(t *testing.T, root string, write bool) {
	t.Helper()
	for change := f; change != nil; change = change.also {
		path := filepath.Join(root, change.file)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Errorf("%s: %v", f.name, err)
			continue
		}
		if count := strings.Count(string(text), change.old); count != 1 {
			t.Errorf("%s: %q occurs %d times in %s, want once", f.name, change.old, count, change.file)
			continue
		}
		if !write {
			continue
		}
		changed := strings.Replace(string(text), change.old, change.new, 1)
		if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestKnownFaultsFitTheSource: every text that a known fault replaces occurs exactly once, so that the faults can be tried.
func TestKnownFaultsFitTheSource(t *testing.T) {
	for i := range knownFaults {
		knownFaults[i].apply(t, moduleRoot, false)
	}
}

// TestKnownFaultsAreFound builds the program with each known fault and checks that simulate finds it, and within how many seeds.
func TestKnownFaultsAreFound(t *testing.T) {
	if !*playKnownFaults {
		t.Skip("without -sim.mutants")
	}
	for _, fault := range knownFaults {
		if !strings.Contains(fault.name, *knownFaultFilter) {
			continue
		}
		t.Run(fault.name, func(t *testing.T) {
			program := buildWith(t, &fault)
			args := []string{"simulate", "--seeds", "2000", "--first"}
			if fault.fleet {
				args = append(args, "--fleet")
			}
			out, err := exec.CommandContext(t.Context(), program, args...).CombinedOutput()
			seed, invariant := firstViolation(string(out))
			if err == nil || invariant == "" {
				t.Fatalf("not found in 2000 seeds: %v", err)
			}
			t.Logf("| %s | %d | `%s` |", fault.name, seed+1, invariant)
		})
	}
}

// buildWith builds the testbed from a copy of the project with a fault in it.
func buildWith(t *testing.T, fault *knownFault) (program string) {
	t.Helper()
	root, dir := moduleRoot, t.TempDir()
	args := []string{"-r"}
	for _, name := range []string{"cmd", "internal", "scenarios", "go.mod", "go.sum"} {
		args = append(args, filepath.Join(root, name))
	}
	if out, err := exec.CommandContext(t.Context(), "cp", append(args, dir)...).CombinedOutput(); err != nil {
		t.Fatalf("copy the project: %v: %s", err, out)
	}
	fault.apply(t, dir, true)
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", "testbed", "./cmd/testbed")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return filepath.Join(dir, "testbed")
}

// firstViolation finds the first violation in the output of simulate; invariant is empty where there is none.
func firstViolation(output string) (seed int, invariant string) {
	for line := range strings.Lines(output) {
		_, violation, found := strings.Cut(line, "BROKEN ")
		if !found {
			continue
		}
		if _, err := fmt.Sscanf(line, "seed %d:", &seed); err == nil {
			return seed, strings.Fields(violation)[0]
		}
	}
	return 0, ""
}
