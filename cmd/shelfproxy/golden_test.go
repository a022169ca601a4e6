package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"shelfproxy/internal/golden"
)

// TestGoldenCommands: the verbs, their arguments and their flags.
func TestGoldenCommands(t *testing.T) {
	var lines golden.Lines
	var list func(c *cobra.Command)
	list = func(c *cobra.Command) {
		lines.Text("verb", c.CommandPath()+" | "+c.Use)
		lines.Text("flags", strings.Join(strings.Fields(c.LocalFlags().FlagUsages()), " "))
		for _, sub := range c.Commands() {
			list(sub)
		}
	}
	list(command())
	golden.Check(t, "verbs.golden", lines.Bytes())
}

// everyFleetKey is a supervisor's file with every key.
const everyFleetKey = `[fleet]
instances = 2
at_once = 2
ready_within = "9s"
watch = "8s"
end_within = "7s"
silent = "6s"
backoff_least = "100ms"
backoff_most = "20s"
max_failed = 0.3
least_judged = 40
control = "run/fleet"
log = "json"
[instance]
program = "bin/shelfproxy"
args = ["--file", "run/n{i}.toml"]
env = ["LB_CONFIG=run/n{i}.json"]
listen = "127.0.0.1:{port}"
first_port = 7000
`

// TestGoldenFleetFile: every key of a supervisor's file is read, and what is bad is one line that names the field.
func TestGoldenFleetFile(t *testing.T) {
	var lines golden.Lines
	for _, text := range []string{everyFleetKey, "[instance]\nlisten = '127.0.0.1:{port}'\n",
		strings.Replace(everyFleetKey, "{port}", "7", 1), strings.Replace(everyFleetKey, "LB_CONFIG=", "", 1),
		strings.Replace(everyFleetKey, "at_once = 2", "at_once = 3", 1), "[fleet]\nno_such = 1\n"} {
		path := filepath.Join(t.TempDir(), "machine.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := readFleet(path)
		if err != nil {
			place, _, _ := strings.Cut(strings.ReplaceAll(err.Error(), filepath.Dir(path)+"/", ""), ": ")
			lines.Text("refused at", place)
			continue
		}
		c, in := f.Fleet, f.Instance
		lines.Text("fleet", fmt.Sprint(c.Instances, c.AtOnce, c.ReadyWithin, c.Watch, c.EndWithin, c.Silent, c.BackoffLeast, c.BackoffMost, c.MaxFailed, c.LeastJudged, c.Control, c.Log))
		lines.Text("instance", fmt.Sprint(in.Program, in.Args, in.Env, in.Listen, in.FirstPort))
		lines.Text("filled", fmt.Sprint(f.fillAll(in.Args, 1), f.fill(in.Listen, 1)))
	}
	golden.Check(t, "fleet.golden", lines.Bytes())
}
