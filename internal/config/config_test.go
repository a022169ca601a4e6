package config

import (
	"fmt"
	"os"
	"path/filepath"
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

// load writes both files, where there are texts for them, and loads them.
func load(t *testing.T, platform, operator string, env map[string]string) (*Config, string, error) {
	t.Helper()
	dir := t.TempDir()
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	vars := map[string]string{}
	for k, v := range env {
		vars[k] = v
	}
	if platform != "" {
		vars["LB_CONFIG"] = put("config.json", platform)
	}
	path := ""
	if operator != "" {
		path = put("operator.toml", operator)
	}
	c, err := Load(func(k string) string { return vars[k] }, path)
	return c, dir, err
}

// LB_CONFIG goes before the variables, these before the operator's file, and it before the defaults; each value
// tells where it came from.
func TestWhereValuesComeFrom(t *testing.T) {
	operator := "[node]\nname = 'file'\nlisten = '127.0.0.1:1'\n[limits]\nsockets = 256\nmemory_mb = 64\n[listener]\nidle = '9s'\n"
	c, dir, err := load(t, platform, operator, map[string]string{"LB_NAME": "n7", "LB_LISTEN": "127.0.0.1:2"})
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, s := range c.Show() {
		got[s.Field] = s.Value + " " + strings.ReplaceAll(s.From, dir+"/", "")
	}
	for field, want := range map[string]string{"name": "n7 LB_NAME", "listen": "127.0.0.1:6380 config.json",
		"seed": "2a config.json", "limits.sockets": "512 config.json", "limits.memory_mb": "64 operator.toml:6",
		"limits.cores": "0 default", "listener.idle": "9s operator.toml:8", "listener.silent": "2.5s default",
		"settings.nodes": "4 config.json"} {
		if got[field] != want {
			t.Errorf("%s: %q, want %q", field, got[field], want)
		}
	}
	other := *c
	other.Sockets, other.Discovery, other.Node.MaxOpenRequests = 300, "127.0.0.1:9", 5
	if f := fmt.Sprint(c.ChangedFixedFields(&other)); f != "[limits.sockets settings.max_open]" {
		t.Errorf("fields that a running node can't change: %s", f)
	}
}

// Where there is no platform the file says all.
func TestFileAlone(t *testing.T) {
	operator := "[node]\nlisten = '127.0.0.1:1'\ndiscovery = '127.0.0.1:2'\n" + service
	c, _, err := load(t, "", operator, nil)
	if err != nil {
		t.Fatal(err)
	}
	d, _, err := load(t, "", operator, nil)
	if err != nil || c.Seed == d.Seed {
		t.Errorf("two starts with the same random numbers: %v", err)
	}
	if c.Policy.Zone != "room-b" || c.Node.MaxDeadline != 2*time.Second || c.Policy.OverloadFactor != 3 {
		t.Errorf("settings %+v", c.Settings)
	}
}

func TestErrorsOfTheOperatorsFile(t *testing.T) {
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
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// TestEndsBeforeItIsKilled: SIGKILL may come the longest deadline, of which 3 s count, and 0.7 s after SIGTERM. The last
// answer is out before, and what was taken last has some time, whatever the operator says.
func TestEndsBeforeItIsKilled(t *testing.T) {
	for _, wait := range []time.Duration{200, 520, 1000, 2999, 3000, 6500, 60000} {
		for _, last := range []time.Duration{500, 3400, 60000} {
			c := Config{Operator: defaults()}
			c.Node.MaxDeadline = wait * time.Millisecond
			c.Operator.Shutdown.Last = tomlfile.Duration(last * time.Millisecond)
			kill := min(c.Node.MaxDeadline, 3*time.Second) + 700*time.Millisecond
			grace, end := c.ShutdownTimes()
			if end > kill-200*time.Millisecond || end > last*time.Millisecond || grace >= end || grace <= 0 {
				t.Errorf("longest wait %v, last %v: takes for %v and answers by %v; killed after %v", c.Node.MaxDeadline, last, grace, end, kill)
			}
		}
	}
	c := Config{Operator: defaults()}
	c.Node.MaxDeadline = 6 * time.Second
	if grace, end := c.ShutdownTimes(); grace != 2200*time.Millisecond || end != 3400*time.Millisecond {
		t.Errorf("by default takes for %v and answers by %v", grace, end)
	}
}

// The operator's files that the repository brings are good.
func TestDeployedFiles(t *testing.T) {
	o, err := readOperator("../../deploy/fleet.toml")
	if err != nil || o.Rollout.NodesOut != 4 {
		t.Errorf("deploy/fleet.toml: %v, budget %d", err, o.Rollout.NodesOut)
	}
}
