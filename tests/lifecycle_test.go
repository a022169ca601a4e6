package tests

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// Guards against requests that get lost at a shutdown. After SIGTERM the node keeps serving for the grace period, answers every
// pending request and exits with code 0.
func TestShutdownAnswersWhatIsOwedAndExitsCleanly(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, func(command []string) string {
		if command[1] == "slow" {
			time.Sleep(time.Second) // the service time of the cache server
		}
		return harness.Hit(command)
	})).Start()
	owed, idle := node.Dial(), node.Dial()
	owed.Get("slow", "id1")
	idle.Send("PING").Want("+PONG")
	node.WaitFor("the request is in flight", func() bool { return idle.Counter(readAttempts) == 1 })
	node.Process.Signal(syscall.SIGTERM)
	node.Process.Signal(syscall.SIGHUP) // a reload during the shutdown must not cut it short
	node.WaitForLog("stopping")         // the grace period has begun
	node.Dial().Get("k", "id2").Want("value-id2")
	idle.Want(harness.Closed)
	owed.Want("value-id1")
	owed.Want(harness.Closed)
	node.WaitExit()
	if !node.Log.Contains(`"flows_answered{class=\"read\",answer=\"served\"}":2`) {
		t.Errorf("the log does not count two served requests: %s", node.Log)
	}
}

// A reload moves the watch to another discovery service and changes nothing else. The node closes the old watch and ignores what
// the old service still sends. An invalid configuration changes nothing. The log names each changed field that takes effect only
// at the next start.
func TestReloadMovesTheWatchAlone(t *testing.T) {
	t.Parallel()
	server := harness.NewCacheServer(t, harness.Hit)
	node, next := harness.NewNode(t, server).Start(), harness.NewDiscovery(t)
	client := node.Dial()
	client.Get("k", "id1").Want("value-id1")
	for _, invalid := range []string{"{", `{"listen":"127.0.0.1:1","discovery":"nowhere"}`} {
		node.WriteConfigText(invalid)
		node.Process.Signal(syscall.SIGHUP)
	}
	node.WaitForLog(`"event":"reload_refused","error":"discovery: \"nowhere\" is no host and port"`)
	node.Config.Discovery = next.Address
	node.Config.Limits.Sockets = 512
	for range 3 {
		node.Reload()
	}
	if query := next.NextWatch(); !strings.Contains(query, "after=41") {
		t.Errorf("the new watch has the query %q, want changes after version 41", query)
	}
	node.WaitFor("the old watch is closed", func() bool { return node.Discovery.OpenWatches() == 0 })
	node.WaitForLog(`"event":"reload_waits","field":"limits.sockets"`)
	next.Publish(harness.NewList(43, false, drainingServer(server.Address)))
	node.WaitFor("the new discovery is followed", func() bool { return server.Connections() == 0 })
	client.Get("k", "id2").Want("from-origin-id2")
	if unseen := next.UnseenWatches(); unseen > 0 {
		t.Errorf("%d more watches were opened, want none", unseen)
	}
}

func TestInvalidConfigurationNamesTheField(t *testing.T) {
	t.Parallel()
	settings := func(config map[string]any, part string) map[string]any {
		return config["settings"].(map[string]any)[part].(map[string]any)
	}
	for want, edit := range map[string]harness.ConfigEdit{
		"listen":                  func(config map[string]any) { config["listen"] = "nowhere" },
		"discovery":               func(config map[string]any) { delete(config, "discovery") },
		"seed":                    func(config map[string]any) { config["seed"] = "xyz" },
		"limits.sockets":          func(config map[string]any) { config["limits"] = map[string]any{"sockets": 3} },
		"known: ":                 func(config map[string]any) { config["known"] = map[string]any{} },
		"settings: missing":       func(config map[string]any) { delete(config, "settings") },
		"Settings.MaxAttempts":    func(config map[string]any) { settings(config, "limits")["max_attempts"] = 0 },
		"limits.conn_idle":        func(config map[string]any) { settings(config, "limits")["conn_idle"] = "long" },
		"family_info.origin_kind": func(config map[string]any) { settings(config, "family_info")["origin_kind"] = 9 },
	} {
		node := harness.NewNode(t)
		node.Edits = []harness.ConfigEdit{edit}
		wantOneLineError(t, node.Command(), want)
	}
	cmd := exec.CommandContext(t.Context(), harness.NodeProgram)
	cmd.Env = append(os.Environ(), "LB_CONFIG=")
	wantOneLineError(t, cmd, "LB_CONFIG: not set")
}

// wantOneLineError fails the test unless the command fails and prints a single line that contains want.
func wantOneLineError(t *testing.T, cmd *exec.Cmd, want string) {
	t.Helper()
	output, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(output), want) || strings.Count(string(output), "\n") != 1 {
		t.Errorf("ended with %v and printed %q, want an error and one line with %q", err, output, want)
	}
}

// The verbs of the node's program print whether its files are valid, which build it is and where each configured value comes
// from.
func TestNodeVerbs(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t)
	run := func(args ...string) *exec.Cmd { return node.Command(args...) }
	file := filepath.Join(t.TempDir(), "operator.toml")
	harness.WriteFile(t, file, "[listener]\nidle = \"9s\"\n")
	for args, want := range map[string]string{"check": "configuration is good", "version": "shelfproxy ",
		"config show --file " + file: "listener.idle", "run --help": "Run the node"} {
		if output, err := run(strings.Fields(args)...).CombinedOutput(); err != nil || !strings.Contains(string(output), want) {
			t.Errorf("%s: %v, %s; want %q", args, err, output, want)
		}
	}
	output, err := run("config", "show", "-f", file).Output()
	shown := string(output)
	if err != nil || !strings.Contains(shown, file+":2") || !strings.Contains(shown, "LB_CONFIG") && !strings.Contains(shown, node.ConfigPath()) {
		t.Errorf("config show does not name the source of each value: %v, %s", err, shown)
	}
	harness.WriteFile(t, file, "[listener]\nidle = \"9\"\n")
	cmd := run("--file", file)
	wantOneLineError(t, cmd, "operator.toml:2: listener.idle: ")
	if code := cmd.ProcessState.ExitCode(); code != 2 {
		t.Errorf("exit code %d for an invalid file, want 2", code)
	}
}
