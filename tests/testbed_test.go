package tests

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"shelfproxy/internal/testbed/demo"
	"shelfproxy/internal/testbed/faultproxy"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/overhead"
	"shelfproxy/tests/harness"
)

// roughScenario has two nodes. Cache servers are replaced, one is frozen for a second, and responses are corrupted.
const roughScenario = `
length = "5s"
[nodes]
count = 2
[load]
rate = 80
[roster]
lag = "100ms"
[rules]
grace = "400ms"
[[fault]]
kind = "deploy"
at = "500ms"
for = "2s"
share = 0.4
batch = 0.2
drain_for = "4s"
same_address = 0.5
[[fault]]
kind = "spoilt"
at = "1s"
for = "2s"
answers = 0.05
[[fault]]
kind = "freeze"
at = "2s"
for = "1s"
count = 1
`

// Real nodes violate no invariant while cache servers are replaced, one of them becomes unresponsive, responses are corrupted and
// every node is restarted.
func TestNodesViolateNoInvariantUnderFaults(t *testing.T) {
	t.Parallel()
	result := harness.Play(t, harness.NodeProgram, roughScenario, demo.Options{Restarts: 1})
	harness.CheckServed(t, result, 200, 0.7)
	if open := result.Summary.Counts.Open; open > 0 {
		t.Errorf("%d requests are still open at the end, want none", open)
	}
}

const rolloutScenario = `
length = "24s"
[nodes]
count = 5
[boxes]
count = 4
[load]
rate = 60
[rules]
grace = "400ms"
`

// Guards against requests that a rollout loses, and against a rollout beyond its budget. Under load, the nodes of a fleet agree
// on who may drain, and are updated to another release. A tenth of their datagrams is dropped and a tenth duplicated, and the
// first node that is allowed to drain then stalls. Every request has to get exactly one answer.
func TestRolloutUnderLoadAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	result := harness.Play(t, harness.NodeProgram, rolloutScenario, demo.Options{Rollout: &demo.Rollout{Budget: 2, Stall: 500 * time.Millisecond,
		Faults: faultproxy.Faults{Dropped: 0.1, Duplicated: 0.1, Delay: 20 * time.Millisecond}}})
	harness.CheckClean(t, result)
	if rollout := result.Rollout; rollout.Done != 5 || rollout.MostOut < 1 || rollout.MostOut > 2 {
		t.Errorf("%+v, want 5 nodes done and 1 or 2 out of service at once", rollout)
	}
}

// calmScenario has one node and a low load. Its only fault is that one of four cache servers drains.
const calmScenario = `
length = "4s"
[nodes]
count = 1
[boxes]
count = 4
[load]
rate = 25
[roster]
lag = "20ms"
[rules]
drain_within = "300ms"
told_within = "300ms"
grace = "50ms"
[[class]]
name = "read"
share = 0.8
work = "5ms"
aim = "500ms"
deadline = "1s"
effect = "idempotent"
[[class]]
name = "issue-cert"
share = 0.2
work = "5ms"
aim = "500ms"
deadline = "1s"
write = true
effect = "at_most_once"
bytes = 50
[[fault]]
kind = "drain"
at = "1s"
boxes = ["box-0"]
`

// Guards against invariants that find nothing. Each mode of the baseline node, which is broken on purpose, must violate exactly
// the invariant that it is meant to break; the mode keep must violate none.
func TestBaselineNodesAreCaughtByTheirInvariant(t *testing.T) {
	t.Parallel()
	baseline := filepath.Join(t.TempDir(), "baseline")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", baseline, "shelfproxy/tests/baseline")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the baseline node: %v: %s", err, output)
	}
	for mode, want := range map[string]invariants.Invariant{"keep": "", "resend": invariants.DuplicateExecution, "drain": invariants.SentToDraining,
		"lose": invariants.MissingAnswer, "swap": invariants.MissingAnswer, "late": invariants.MissingAnswer} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			program := filepath.Join(t.TempDir(), "node")
			script := fmt.Sprintf("#!/bin/sh\nBASELINE=%s exec %s\n", mode, baseline)
			if err := os.WriteFile(program, []byte(script), 0o755); err != nil {
				t.Fatalf("write the script that starts the node: %v", err)
			}
			violations := harness.Play(t, program, calmScenario, demo.Options{}).Summary.Violations
			for _, violation := range violations {
				if violation.Invariant != want || want != invariants.SentToDraining && len(violation.History) == 0 {
					t.Errorf("%v, want one of the invariant %q with a history", violation, want)
				}
			}
			if (len(violations) > 0) != (want != "") {
				t.Errorf("%d violations, want the invariant %q", len(violations), want)
			}
		})
	}
}

// nodesOf returns the processes whose configuration is in a directory.
func nodesOf(t *testing.T, dir string) (processes []string) {
	t.Helper()
	environments, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatalf("list the processes: %v", err)
	}
	for _, path := range environments {
		// A process whose environment cannot be read belongs to another user or has ended.
		if environment, err := os.ReadFile(path); err == nil && bytes.Contains(environment, []byte("LB_CONFIG="+dir)) {
			processes = append(processes, path)
		}
	}
	return processes
}

// Guards against nodes that outlive a demo that is interrupted or killed. Its exit code is 130 after Ctrl-C, and -1 here after
// SIGKILL.
func TestDemoLeavesNoNodeBehind(t *testing.T) {
	t.Parallel()
	for signal, wantCode := range map[syscall.Signal]int{syscall.SIGINT: 130, syscall.SIGKILL: -1} {
		dir := t.TempDir()
		var log harness.Log
		// The context never ends the program; the signal does.
		cmd := exec.CommandContext(context.Background(), harness.TestbedProgram, "demo", "calm", "--length", "30s", "--node", harness.NodeProgram,
			"--dir", dir)
		cmd.Stdout, cmd.Stderr = &log, &log
		process := harness.StartProcess(t, cmd)
		t.Cleanup(process.Kill)
		harness.WaitFor(t, "both nodes run under load", func() bool { return len(nodesOf(t, dir)) == 2 && log.Contains(" due, ") }, &log)
		process.Signal(signal)
		_ = process.Wait() // the exit code, checked below, tells how the demo ended
		if code := process.ExitCode(); code != wantCode {
			t.Errorf("%v: exit code %d, want %d: %s", signal, code, wantCode, &log)
		}
		harness.WaitFor(t, "no node is left", func() bool { return len(nodesOf(t, dir)) == 0 }, &log)
		if signal == syscall.SIGINT && !log.Contains("interrupted") {
			t.Errorf("no summary after Ctrl-C: %s", &log)
		}
	}
}

// The exit codes of the testbed tell scripts what kind of failure it was: 1 for a failed run, 2 for an invalid file or scenario,
// 64 for wrong usage.
func TestTestbedExitCodes(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	invalid := filepath.Join(dir, "bad.toml")
	harness.WriteFile(t, invalid, "sped = '1s'\n")
	for args, want := range map[string]struct {
		code int
		text string
	}{
		"list":                {0, "deploy"},
		"check rush --seed 2": {0, "rush is good"},
		"--version":           {0, "go1"},
		"completion bash":     {0, "testbed"},
		"check " + invalid:    {2, "bad.toml:1: sped: there is no such field"},
		"check nosuch":        {2, "there is no scenario \"nosuch\"; shipped are"},
		"demo --node /nonexistent --length 100ms": {1, "n"},
		"demo calm --log-level loud":              {64, "--log-level"},
		"nosuch":                                  {64, "unknown command"},
		"emulate calm --length 50ms --dir " + dir: {0, "LB_CONFIG="},
	} {
		cmd := exec.CommandContext(t.Context(), harness.TestbedProgram, strings.Fields(args)...)
		output, _ := cmd.CombinedOutput() // the exit code, checked below, tells whether the command failed
		if code := cmd.ProcessState.ExitCode(); code != want.code || !strings.Contains(string(output), want.text) {
			t.Errorf("%s: exit code %d, want %d, and %q in %s", args, code, want.code, want.text, output)
		}
	}
}

// The subcommand overhead compares three ways from clients to a cache server: directly, through a program that only copies bytes,
// and through a node. The subcommand has to print a rate and a p99 for each way.
func TestOverheadHasFiguresForEveryWay(t *testing.T) {
	t.Parallel()
	cmd := exec.CommandContext(t.Context(), harness.TestbedProgram, "overhead", "--rounds", "1", "--span", "200ms", "--clients", "4",
		"--node", harness.NodeProgram)
	output, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("testbed overhead: %v: %s", err, output)
	}
	const rate, p99 = 2, 4 // indexes of columns
	for _, way := range overhead.PathNames {
		row := ""
		for line := range strings.Lines(string(output)) {
			if strings.Contains(line, " "+way+" ") {
				row = line
			}
		}
		columns := strings.Split(row, "│")
		if len(columns) < 9 || strings.TrimSpace(columns[rate]) == "0" || strings.TrimSpace(columns[p99]) == "-" {
			t.Errorf("%s: row %q without figures in %s", way, row, output)
		}
	}
}
