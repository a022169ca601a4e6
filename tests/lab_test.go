package tests

import (
	"bytes"
	"context"
	"log/slog"
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
	"shelfproxy/internal/testbed/scenario"
)

// play plays a scenario with a program as its nodes.
func play(t *testing.T, program, text string, restarts int) *demo.Result {
	t.Helper()
	return playWith(t, program, text, restarts, nil)
}

func playWith(t *testing.T, program, text string, restarts int, roll *demo.Rollout) *demo.Result {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	r, err := demo.Run(context.Background(), demo.Options{Plan: s.Draw(5), Program: program, Dir: t.TempDir(),
		Log: slog.New(slog.DiscardHandler), Out: &out, Every: time.Second, Restarts: restarts, Rollout: roll})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Write(&out); err != nil {
		t.Fatalf("write the summary: %v", err)
	}
	t.Log(out.String())
	return r
}

const rough = `
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

// The real node keeps the rules while boxes are replaced, fall silent and spoil answers, and while every node is
// restarted.
func TestRealNodesKeepTheRules(t *testing.T) {
	t.Parallel()
	r := play(t, program, rough, 1)
	if !r.IsClean() {
		t.Errorf("rules broken: %v %v", r.Summary.Broken, r.Failures)
	}
	served := int64(0)
	for _, c := range r.Classes {
		served += c.Served
	}
	if n := r.Summary.Rules; n.Requests < 200 || n.Open > 0 || served < int64(n.Requests)*7/10 {
		t.Errorf("%+v, %d served", n, served)
	}
}

// A node that is broken on purpose is caught by the rule that it breaks, and by no other.
// TestRollLosesNothing: a fleet goes to another release by its own agreement, under load, while a tenth of its datagrams is
// lost or comes twice and the first node that may go stalls: within the budget, and every request has its one answer.
func TestRollLosesNothing(t *testing.T) {
	t.Parallel()
	const text = "length = \"24s\"\n[nodes]\ncount = 5\n[boxes]\ncount = 4\n[load]\nrate = 60\n[rules]\ngrace = \"400ms\""
	r := playWith(t, program, text, 0, &demo.Rollout{Budget: 2, Stall: 500 * time.Millisecond,
		Faults: faultproxy.Faults{Dropped: 0.1, Duplicated: 0.1, Delay: 20 * time.Millisecond}})
	if !r.IsClean() {
		t.Errorf("rules broken: %v %v", r.Summary.Broken, r.Failures)
	}
	if r.Rollout.Done != 5 || r.Rollout.MostOut < 1 || r.Rollout.MostOut > 2 {
		t.Errorf("%+v", r.Rollout)
	}
}

func TestBrokenNodesAreCaught(t *testing.T) {
	t.Parallel()
	naive := filepath.Join(t.TempDir(), "naive")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", naive, "shelfproxy/tests/baseline").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	const calm = `
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
	for mode, want := range map[string]invariants.Invariant{"keep": "", "resend": invariants.DuplicateExecution, "drain": invariants.SentToDraining, "lose": invariants.MissingAnswer,
		"swap": invariants.MissingAnswer, "late": invariants.MissingAnswer} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			wrapper := filepath.Join(t.TempDir(), "node")
			if err := os.WriteFile(wrapper, []byte("#!/bin/sh\nNAIVE="+mode+" exec "+naive+"\n"), 0o755); err != nil {
				t.Fatal(err)
			}
			broken := play(t, wrapper, calm, 0).Summary.Broken
			for _, v := range broken {
				if v.Invariant != want || want != invariants.SentToDraining && len(v.History) == 0 {
					t.Errorf("%v, want the rule %q with a history", v, want)
				}
			}
			if (len(broken) > 0) != (want != "") {
				t.Errorf("%d rules broken, want %q", len(broken), want)
			}
		})
	}
}

// children are the processes that were told a configuration under a folder.
func children(dir string) (pids []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, f := range all {
		if env, err := os.ReadFile(f); err == nil && bytes.Contains(env, []byte("LB_CONFIG="+dir)) {
			pids = append(pids, f)
		}
	}
	return pids
}

// Whichever way the lab ends, no node outlives it, and its exit code tells how it ended.
func TestLabLeavesNothingBehind(t *testing.T) {
	t.Parallel()
	for sig, code := range map[syscall.Signal]int{syscall.SIGINT: 130, syscall.SIGKILL: -1} {
		dir := t.TempDir()
		cmd := exec.Command(lab, "demo", "calm", "--length", "30s", "--node", program, "--dir", dir)
		var out lockedBuffer
		cmd.Stdout, cmd.Stderr = &out, &out
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		wait := func(what string, done func() bool) {
			t.Helper()
			for end := time.Now().Add(patience); !done(); time.Sleep(20 * time.Millisecond) {
				if time.Now().After(end) {
					cmd.Process.Kill()
					t.Fatalf("%v: never seen: %s", sig, what)
				}
			}
		}
		wait("both nodes run under load", func() bool { return len(children(dir)) == 2 && strings.Contains(out.String(), " due, ") })
		cmd.Process.Signal(sig)
		<-ended
		if got := cmd.ProcessState.ExitCode(); got != code {
			t.Errorf("%v: exit code %d, want %d: %s", sig, got, code, &out)
		}
		wait("no node is left", func() bool { return len(children(dir)) == 0 })
		if sig == syscall.SIGINT && !strings.Contains(out.String(), "interrupted") {
			t.Errorf("no summary after Ctrl-C: %s", &out)
		}
	}
}

// Scripts tell the ways in which the lab can fail apart by its exit code.
func TestLabExitCodes(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("lenght = '1s'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]struct {
		code int
		text string
	}{
		"list":                {0, "deploy"},
		"check rush --seed 2": {0, "rush is good"},
		"--version":           {0, "go1"},
		"completion bash":     {0, "testbed"},
		"check " + bad:        {2, "bad.toml:1: lenght: there is no such field"},
		"check nosuch":        {2, "there is no scenario \"nosuch\"; shipped are"},
		"demo --node /nonexistent --length 100ms": {1, "n"},
		"demo calm --log-level loud":              {64, "--log-level"},
		"nosuch":                                  {64, "unknown command"},
		"emulate calm --length 50ms --dir " + dir: {0, "LB_CONFIG="},
	} {
		cmd := exec.Command(lab, strings.Fields(args)...)
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != want.code || !strings.Contains(string(out), want.text) {
			t.Errorf("%s: exit code %d, want %d, and %q in %s", args, got, want.code, want.text, out)
		}
	}
}

// What a node costs is measured against a program that copies bytes, with figures for all three ways.
func TestOverhead(t *testing.T) {
	t.Parallel()
	out, err := exec.Command(lab, "overhead", "--rounds", "1", "--span", "200ms", "--clients", "4", "--node", program).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, way := range overhead.Ways {
		line := ""
		for l := range strings.SplitSeq(string(out), "\n") {
			if strings.Contains(l, " "+way+" ") {
				line = l
			}
		}
		fields := strings.Split(line, "│")
		if len(fields) < 9 || strings.TrimSpace(fields[2]) == "0" || strings.TrimSpace(fields[4]) == "-" {
			t.Errorf("%s: %q in %s", way, line, out)
		}
	}
}

// The node's verbs: what is good, which build it is, and where each value came from.
func TestNodeVerbs(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	cmd := r.write()
	file := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(file, []byte("[listener]\nidle = \"9s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]string{"check": "configuration is good", "version": "shelfproxy ",
		"config show --file " + file: "listener.idle", "run --help": "Run the node"} {
		c := exec.Command(program, strings.Fields(args)...)
		c.Env = cmd.Env
		if out, err := c.CombinedOutput(); err != nil || !strings.Contains(string(out), want) {
			t.Errorf("%s: %v %s", args, err, out)
		}
	}
	c := exec.Command(program, "config", "show", "-f", file)
	c.Env = cmd.Env
	if out, _ := c.Output(); !strings.Contains(string(out), file+":2") || !strings.Contains(string(out), "LB_CONFIG") && !strings.Contains(string(out), r.path) {
		t.Errorf("where values come from: %s", out)
	}
	if err := os.WriteFile(file, []byte("[listener]\nidle = \"9\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c = exec.Command(program, "--file", file)
	c.Env = cmd.Env
	wantError(t, c, "operator.toml:2: listener.idle: ")
	if code := c.ProcessState.ExitCode(); code != 2 {
		t.Errorf("exit code %d for a bad file", code)
	}
}
