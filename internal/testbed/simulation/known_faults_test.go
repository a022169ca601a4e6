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

// knownFault is a fault that a test can put into the program: in the source file, it replaces the code old by the code new.
type knownFault struct {
	name, file, old, new string
	also                 *knownFault // a second replacement for the same fault, if two places of the source guard the same invariant
	fleet                bool        // simulate finds the fault only with the flag --fleet
}

var knownFaults = []knownFault{
	{"request is retried after it may have been executed", "internal/policy/retry.go", "if req.possiblyExecuted == nil || req.class.Effect == Idempotent {\n\t\treturn true\n\t}\n\tearlier", "if req != nil {\n\t\treturn true\n\t}\n\tearlier", nil, false},
	{"request is rejected after it may have been executed", "internal/policy/retry.go", "return req.class.Effect == Deduplicated && req.class.DedupScope == AllServers", "return true", nil, false},
	{"draining servers get new requests", "internal/policy/server.go", "return !r.isOriginKind(srv) && srv.isListed && srv.State == Live", "return !r.isOriginKind(srv) && srv.isListed",
		&knownFault{file: "internal/upstream/core.go", old: "c.addr, c.isDraining = addr, isDraining", new: "isDraining = false\n\tc.addr, c.isDraining = addr, isDraining"}, false},
	{"silent watch is not detected", "internal/discovery/polling/schedule.go", "WatchTimeout = 3 * time.Second", "WatchTimeout = 5 * time.Hour", nil, false},
	{"request is answered twice", "internal/listener/responses.go", "conn.slots = append([]*ResponseSlot(nil), conn.slots[written:]...)", "conn.slots = append([]*ResponseSlot(nil), conn.slots[written-1:]...)", nil, false},
	{"deadline is too late", "internal/node/requests.go", "deadline: r.ReceivedAt.Add(max(timeout-clientTransitTime, minRequestTimeout))", "deadline: r.ReceivedAt.Add(timeout + 200*time.Millisecond)", nil, false},
	{"connection with stray bytes is reused", "internal/upstream/transfer.go", "case conn.Decoder.Buffered() > 0 && !conn.mayReceive():", "case conn == nil:",
		&knownFault{file: "internal/upstream/transfer.go", old: "if !conn.mayReceive() {", new: "if len(conn.pending) == 0 {",
			also: &knownFault{file: "internal/upstream/transfer.go", old: "if isStale && conn.AwaitsNoResponse() {", new: "if conn == nil {"}}, false},
	{"attempt is put behind one that may be dropped", "internal/upstream/attribution.go", "return ahead.NeedsNewConnection || c.mayBeDropped(now, ahead)", "return false",
		&knownFault{file: "internal/upstream/attribution.go", old: "return !c.mayBeDropped(now, conn.pending[0]) ||", new: "return conn != nil ||"}, false},
	{"abandoned attempt stays out", "internal/upstream/abandon.go", "if mayBeSentElsewhere && !c.limits.SecondCopies {", "if mayBeSentElsewhere && conn == nil {", nil, false},
	{"waiting attempt is not assigned to a free connection", "internal/upstream/assign.go", "case len(c.waiting) > 0:\n\t\tc.enqueue(conn, c.popWaiting(), effects)", "case len(c.waiting) > 1000:\n\t\tc.enqueue(conn, c.popWaiting(), effects)", nil, false},
	{"request ids leak", "internal/node/requests.go", "delete(c.ids, string(open.ID))", "", nil, false},
	{"written attempt is reported as never run", "internal/upstream/transfer.go", "if !isComplete {\n\t\tattempt.possiblyExecuted = false", "if attempt != nil {\n\t\tattempt.possiblyExecuted = false", nil, false},
	{"memory of responses that are written leaks", "internal/listener/pipelining.go", "c.limits.ResponseMemory.Release(slot.reservedMemory)", "c.limits.ResponseMemory.Release(0)", nil, false},
	{"memory of responses that come late leaks", "internal/node/attempts.go", "c.options.Counters.LateResponses.Add(1) // the attempt was abandoned before\n\t\tc.options.ResponseMemory.Release(response.ReservedMemory)", "c.options.Counters.LateResponses.Add(1)", nil, false},
	{"memory of responses on lost connections leaks", "internal/upstream/memory.go", "c.memory.Release(conn.reservedMemory)\n", "c.memory.Release(0)\n", nil, false},
	{"memory of requests leaks", "internal/node/requests.go", "c.options.RequestMemory.Release(open.reservedMemory)", "c.options.RequestMemory.Release(0)", nil, false},
	{"malformed commands are not answered", "internal/listener/commands.go", "c.finish(now, conn, EndedBadFraming, effects)\n\tc.notifyWriter(conn, effects)", "", nil, false},
	{"abandoned attempt is reported as not written", "internal/upstream/abandon.go", "c.close(now, conn, Displaced, effects)\n\t}\n\treturn attempt.possiblyExecuted", "c.close(now, conn, Displaced, effects)\n\t}\n\treturn false", nil, false},
	{"slow-start budget is ignored", "internal/policy/hotkey.go", "if r.isWarmingUp(srv) {", "if srv == nil {", &knownFault{file: "internal/policy/routing.go", old: "weight := r.slowStartWeight(srv)", new: "weight := 1.0"}, false},

	{"lease is held past its expiry", "internal/fleet/lease/core.go", "r.own.isAcquired && now < r.own.expiresAt {", "r.own.isAcquired {",
		&knownFault{file: "internal/fleet/lease/resource.go", old: "if r.own.isAcquired && now >= r.own.expiresAt {", new: "if c == nil {"}, true},
	{"lease is granted to two nodes", "internal/fleet/lease/resource.go", "if reason := r.grant.conflict(from, token); reason != ReasonGranted {", "if reason := r.grant.conflict(from, token); c == nil {", nil, true},
	{"starting node grants leases at once", "internal/fleet/lease/core.go", "return c.cfg.Nodes > 1 && !agreement.HasExpired(", "return c.cfg.Nodes > 99 && !agreement.HasExpired(", nil, true},
	{"half of the fleet is a majority for leases", "internal/fleet/lease/core.go", "return agreement.Majority(c.cfg.Nodes)", "return (c.cfg.Nodes + 1) / 2", nil, true},
	{"half of the fleet is a majority for drains", "internal/fleet/rollout/core.go", "return agreement.Majority(c.cfg.Nodes)", "return (c.cfg.Nodes + 1) / 2", nil, true},
	{"starting node grants slots at once", "internal/fleet/rollout/slot.go", "if c.cfg.Nodes == 1 {", "if c.cfg.Nodes > 0 {", nil, true},
	{"slot is granted twice", "internal/fleet/rollout/slot.go", "return record.Slot == request.Slot || c.isInZone(record, request) && record.ZoneSlot == request.ZoneSlot", "return false", nil, true},
	{"release order cancels an operator's drain request", "internal/fleet/rollout/halt.go", "return c.isDrainRequested || hasReported", "return c.isDrainRequested && c.order.Epoch == 0 || hasReported", nil, true},
	{"withdrawn order keeps its slot", "internal/fleet/rollout/request.go", "if request.isPending || request.isGranted { // the order", "if request.isPending && request.isGranted { // the order", nil, true},
	{"node does not refute that it is dead", "internal/fleet/membership/suspicion.go", "self.refutations = u.refutations + 1", "", nil, true},
	{"suspected nodes are never declared dead", "internal/fleet/membership/suspicion.go", "m.state == Suspect && now-m.since >= c.SuspicionTimeout()", "m.state == Left", nil, true},
	{"dead nodes are never probed", "internal/fleet/membership/probe.go", "if len(absent) > 0 && (", "if len(absent) > 99 && (", nil, true},
}

// moduleRoot is the path of the project's root, relative to this package.
const moduleRoot = "../../.."

// apply checks that each piece of source code that the fault replaces occurs exactly once in its file. root is the path of the
// project. If write is set, apply then replaces these pieces by the faulty code.
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

// TestKnownFaultsFitTheSource guards against changes of the source after which a known fault can no longer be put into it. Every
// piece of code that a known fault replaces has to occur exactly once.
func TestKnownFaultsFitTheSource(t *testing.T) {
	for i := range knownFaults {
		knownFaults[i].apply(t, moduleRoot, false)
	}
}

// TestKnownFaultsAreFound guards against a simulation that no longer detects faults. It builds the program with each known fault,
// checks that simulate finds the fault within 2000 seeds, and logs the first seed that does.
func TestKnownFaultsAreFound(t *testing.T) {
	if !*playKnownFaults {
		t.Skip("needs the flag -sim.mutants")
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

// firstViolation finds the first violation in the output of simulate. invariant is empty if there is none.
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
