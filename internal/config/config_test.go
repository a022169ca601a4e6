package config

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/tomlfile"
)

const platform = `{"listen":"127.0.0.1:6380","discovery":"127.0.0.1:8500","seed":"2a","limits":{"sockets":512},
"settings":{"replicas_of_me":4,"az":"room-a","limits":{"max_attempts":6},"rules":{"overload_factor":3},
"lanes":[{"name":"read","goal_time":1500000,"deadline":6000000,"semantics":"idempotent"}]}}`

const service = `
[service]
zone = "room-b"
[[service.class]]
name = "read"
aim = "1s"
deadline = "2s"
effect = "idempotent"
group = "all"
`

// load writes the platform's and the operators' file, each if its text is not empty, and loads the configuration. It
// also returns the directory of the files.
func load(t *testing.T, platform, operator string, env map[string]string) (*Config, string, error) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	variables := map[string]string{}
	for name, value := range env {
		variables[name] = value
	}
	if platform != "" {
		variables["LB_CONFIG"] = write("config.json", platform)
	}
	path := ""
	if operator != "" {
		path = write("operator.toml", operator)
	}
	cfg, err := Load(func(name string) string { return variables[name] }, path)
	return cfg, dir, err
}

// loadLayers loads a configuration to which the platform, the environment and the operators' file all contribute.
func loadLayers(t *testing.T) (cfg *Config, dir string) {
	t.Helper()
	operator := "[node]\nname = 'file'\nlisten = '127.0.0.1:1'\n[limits]\nsockets = 256\nmemory_mb = 64\n[listener]\nidle = '9s'\n"
	cfg, dir, err := load(t, platform, operator, map[string]string{"LB_NAME": "n7", "LB_LISTEN": "127.0.0.1:2"})
	if err != nil {
		t.Fatal(err)
	}
	return cfg, dir
}

// The platform's file (LB_CONFIG) overrides the LB_ variables, the variables override the operators' file, and the
// operators' file overrides the defaults. Show names the source of each value.
func TestEachLayerOverridesTheNextAndIsNamedAsTheSource(t *testing.T) {
	cfg, dir := loadLayers(t)
	got := map[string]string{}
	for _, setting := range cfg.Show() {
		got[setting.Field] = setting.Value + " " + strings.ReplaceAll(setting.From, dir+"/", "")
	}
	for field, want := range map[string]string{
		"name":             "n7 LB_NAME",
		"listen":           "127.0.0.1:6380 config.json",
		"seed":             "2a config.json",
		"limits.sockets":   "512 config.json",
		"limits.memory_mb": "64 operator.toml:6",
		"limits.cores":     "0 default",
		"listener.idle":    "9s operator.toml:8",
		"listener.silent":  "2.5s default",
		"settings.nodes":   "4 config.json",
	} {
		if got[field] != want {
			t.Errorf("%s: got %q, want %q", field, got[field], want)
		}
	}
}

func TestChangedFixedFieldsAreThoseThatNeedARestart(t *testing.T) {
	cfg, _ := loadLayers(t)
	other := *cfg
	other.Sockets, other.Discovery, other.Node.MaxOpenRequests = 300, "127.0.0.1:9", 5
	want := []string{"limits.sockets", "settings.max_open"}
	if got := cfg.ChangedFixedFields(&other); !slices.Equal(got, want) {
		t.Errorf("got the fields %v, want %v", got, want)
	}
}

func TestOperatorFileAloneIsEnough(t *testing.T) {
	operator := "[node]\nlisten = '127.0.0.1:1'\ndiscovery = '127.0.0.1:2'\n" + service
	first, _, err := load(t, "", operator, nil)
	if err != nil {
		t.Fatal(err)
	}
	restarted, _, err := load(t, "", operator, nil)
	if err != nil {
		t.Fatal(err)
	}
	if first.Seed == restarted.Seed {
		t.Errorf("got the seed %x at two starts, want different ones", first.Seed)
	}
	if first.Policy.Zone != "room-b" || first.Node.MaxDeadline != 2*time.Second || first.Policy.OverloadFactor != 3 {
		t.Errorf("got the settings %+v, want zone room-b, the longest deadline 2s and the overload factor 3", first.Settings)
	}
}

func TestOperatorFileErrorNamesFileLineAndField(t *testing.T) {
	head := "[node]\nlisten = '127.0.0.1:1'\ndiscovery = '127.0.0.1:2'\n"
	for text, want := range map[string]string{
		head:                                                   "operator.toml: service: missing",
		"[log]\nlevel = 'loud'":                                "operator.toml:2: log.level: \"loud\"",
		"[log]\nformat = 'xml'":                                "operator.toml:2: log.format: \"xml\"",
		"[listener]\n\nshare = 0.9":                            "operator.toml:3: listener.share: 0.9 is not from 0.1 to 0.8",
		"[listener]\nshare = 0.8":                              "operator.toml:2: listener.share: with pools",
		"[listener]\nidle = '1ms'":                             "operator.toml:2: listener.idle: 1ms is not from",
		"[listener]\nidel = '1s'":                              "operator.toml:2: listener.idel: there is no such field",
		"[limits]\nsockets = 3":                                "operator.toml:2: limits.sockets: 3 is not from 128",
		"[shutdown]\ngrace = '5s'":                             "operator.toml:1: shutdown.last: 3.4s is before",
		"[node]\nlisten = 'here'":                              "operator.toml:2: node.listen: \"here\"",
		head + strings.Replace(service, "1s", "3s", 1):         "operator.toml:10: service.class[0].deadline: must not be before aim",
		head + strings.Replace(service, "idempot", "pot", 1):   "operator.toml:11: service.class[0].effect: \"potent\"",
		head + strings.Replace(service, "\"read\"", "\"\"", 1): "operator.toml:8: service.class[0].name: missing",
	} {
		if _, _, err := load(t, "", text, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got the error %v, want it to contain %s", text, err, want)
		}
	}
}

func TestErrorHasItsPartsAsFields(t *testing.T) {
	for _, test := range []struct {
		name, platform, operator string
		want                     Error // the expected error; its Reason is left empty
	}{
		{"platform", `{"listen":"here"}`, "", Error{Field: "listen"}},
		{"settings", strings.Replace(platform, `"idempotent"`, `"potent"`, 1), "", Error{Field: "settings"}},
		{"variable", "", "", Error{Field: "LB_CONFIG"}},
		{"value in the file", platform, "[log]\nlevel = 'loud'", Error{Path: "operator.toml", Line: 2, Field: "log.level"}},
		{"unknown key", platform, "[log]\nstage = 'x'", Error{Path: "operator.toml", Line: 2, Field: "log.stage"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, err := load(t, test.platform, test.operator, nil)
			var got *Error
			if !errors.As(err, &got) {
				t.Fatalf("got %T %v, want an *Error", err, err)
			}
			if got.Path != "" {
				got.Path = filepath.Base(got.Path)
			}
			if got.Path != test.want.Path || got.Line != test.want.Line || got.Field != test.want.Field || got.Reason == nil {
				t.Errorf("got %+v, want %+v and a reason", *got, test.want)
			}
		})
	}
	_, _, err := load(t, strings.Replace(platform, `"idempotent"`, `"potent"`, 1), "", nil)
	var setting *FieldError
	if !errors.As(err, &setting) || setting.Field != "lanes.semantics" {
		t.Errorf("got %v, want a *FieldError about lanes.semantics", err)
	}
}

// After SIGTERM the platform waits 0.7 s plus the longest request deadline, of which at most 3 s count, and may then
// send SIGKILL. Whatever times the operators set, the last response has to be given before SIGKILL, and some time has
// to remain for the requests that were accepted last.
func TestShutdownEndsBeforeKill(t *testing.T) {
	for _, deadlineMs := range []time.Duration{200, 520, 1000, 2999, 3000, 6500, 60000} {
		for _, lastMs := range []time.Duration{500, 3400, 60000} {
			cfg := Config{Operator: defaultOperator()}
			cfg.Node.MaxDeadline = deadlineMs * time.Millisecond
			cfg.Operator.Shutdown.LastResponse = tomlfile.Duration(lastMs * time.Millisecond)
			kill := min(cfg.Node.MaxDeadline, 3*time.Second) + 700*time.Millisecond
			grace, last := cfg.ShutdownTimes()
			if last > kill-200*time.Millisecond || last > lastMs*time.Millisecond || grace >= last || grace <= 0 {
				t.Errorf("longest deadline %v, shutdown.last %dms: accepts for %v and responds until %v; killed after %v",
					cfg.Node.MaxDeadline, lastMs, grace, last, kill)
			}
		}
	}
	cfg := Config{Operator: defaultOperator()}
	cfg.Node.MaxDeadline = 6 * time.Second
	if grace, last := cfg.ShutdownTimes(); grace != 2200*time.Millisecond || last != 3400*time.Millisecond {
		t.Errorf("by default got a grace of %v and the last response after %v, want 2.2s and 3.4s", grace, last)
	}
}

func TestDeployedOperatorFilesAreValid(t *testing.T) {
	operator, err := readOperator("../../deploy/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	if operator.Rollout.NodesOut != 4 {
		t.Errorf("deploy/fleet.toml: got rollout.nodes_out %d, want 4", operator.Rollout.NodesOut)
	}
}
