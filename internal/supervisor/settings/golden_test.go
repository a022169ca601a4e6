package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"shelfproxy/internal/golden"
)

// everyKey is the text of a supervisor's file that sets every key.
const everyKey = `[fleet]
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

// TestGoldenFleetFile guards against operators' files that a new release no longer reads as before. It checks that every key of a
// supervisor's file is read, and that the error for an invalid file names the file and the line.
func TestGoldenFleetFile(t *testing.T) {
	var lines golden.Lines
	for _, text := range []string{
		everyKey,
		"[instance]\nlisten = '127.0.0.1:{port}'\n",
		strings.Replace(everyKey, "{port}", "7", 1),
		strings.Replace(everyKey, "LB_CONFIG=", "", 1),
		strings.Replace(everyKey, "at_once = 2", "at_once = 3", 1),
		"[fleet]\nno_such = 1\n",
	} {
		path := filepath.Join(t.TempDir(), "machine.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		file, err := Read(path)
		if err != nil {
			place, _, _ := strings.Cut(strings.ReplaceAll(err.Error(), filepath.Dir(path)+"/", ""), ": ")
			lines.Text("refused at", place)
			continue
		}
		fleet, instance := file.Fleet, file.Instance
		lines.Text("fleet", fmt.Sprint(fleet.Instances, fleet.MaxConcurrent, fleet.ReadyTimeout, fleet.ObservationPeriod,
			fleet.TerminateTimeout, fleet.HangTimeout, fleet.MinBackoff, fleet.MaxBackoff, fleet.MaxFailureRate, fleet.MinSamples,
			fleet.Control, fleet.LogFormat))
		lines.Text("instance", fmt.Sprint(instance.Program, instance.Args, instance.Env, instance.Listen, instance.FirstPort))
		lines.Text("filled", fmt.Sprint(file.Args(1), file.ListenAddress(1)))
	}
	golden.Check(t, "fleet.golden", lines.Bytes())
}
