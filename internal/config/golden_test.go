package config

import (
	"fmt"
	"strings"
	"testing"

	"shelfproxy/internal/golden"
)

// everyPlatformKey is a platform configuration with every key that a node reads.
const everyPlatformKey = `{"name":"n1","listen":"127.0.0.1:6380","discovery":"127.0.0.1:8500","seed":"2a","peer_listen":"127.0.0.1:7001",
"peers_all":"127.0.0.1:7999","peers":["127.0.0.1:7001","127.0.0.1:7002"],
"limits":{"sockets":512,"memory_mb":64,"cores":0.5},
"known":{"generation":5,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","lifecycle":"up"}]},
"settings":{"replicas_of_me":4,"az":"room-a",
"lanes":[{"name":"read","deadline":6000000,"worth":1,"goal_time":1500000,"late_worth":0.5,"semantics":"idempotent"},
{"name":"sign","deadline":3000000,"worth":10,"goal_time":900000,"semantics":"deduplicated","key_scope":"zone","window":10000000},
{"name":"pay","deadline":3000000,"worth":5,"goal_time":900000,"semantics":"at_most_once","key_scope":"cell"}],
"accounts":[{"name":"school","quota_per_s":12.5}],"over_share_worth":0.25,"machine_types":["cache","store"],
"family_info":{"mode":"aside","origin_kind":1},"weights":"nominal","registry_mode":"subscribe",
"limits":{"may_tell":true,"probes":true,"cancel":true,"retry_after":true,"max_attempts":6,"max_retry_after":500000,"max_open":300,
"streams_per_conn":2,"connect_timeout":200000,"conn_idle":20000000},
"rules":{"cold_from":0.2,"warm_after":8000000,"overload_factor":3,"must_ask_in":9000000,"drain_grace":2000000},
"deductions":{"connection":0.1,"handshake":0.2,"cross_zone":0.3},"tick":5000}}`

// everyOperatorKey is an operators' file with every key except those of the [service] table.
const everyOperatorKey = `[node]
name = "n2"
listen = "127.0.0.1:1"
discovery = "127.0.0.1:2"
seed = "2b"
[limits]
cores = 1.5
memory_mb = 96
sockets = 300
[log]
level = "warn"
format = "text"
[listener]
share = 0.4
pipelined = 33
write = "9s"
silent = "2s"
idle = "50s"
idle_crowded = "60ms"
[pools]
target_share = 0.31
origin_share = 0.11
connections = 7
waiting = 77
[shutdown]
grace = "1s"
last = "3s"
[zones]
leave_owner = 0.1
[rollout]
nodes_out = 3
servers_out = 0.3
zone_out = 1
release = "r7"
control = "run/ctl"
beacon = "300ms"
silent = "2s"
lease = "7s"
return = "40s"
lost = "90s"
watch = "12s"
max_failed = 0.2
max_slow = 0.3
least_judged = 44
drift = 0.02
[duties]
hold = ["prober", "caller"]
lease = "3s"
drift = 0.03
list = "b"
[members]
on = true
period = "1s"
wait = "300ms"
ask = 2
suspicion = 4
`

// everyServiceKey is the [service] table with every key.
const everyServiceKey = `[service]
nodes = 5
zone = "room-b"
subscribe = false
probes = false
cancel = false
max_attempts = 4
max_open = 99
streams_per_connection = 3
connect_timeout = "150ms"
connection_idle = "12s"
max_retry_after = "2s"
origin_kind = "store"
sized_weights = true
tick = "6ms"
[service.cold]
from = 0.3
warm_after = "9s"
overload = 2.5
[[service.class]]
name = "read"
worth = 2
aim = "1s"
late_worth = 0.4
deadline = "2s"
effect = "idempotent"
group = "all"
[[service.class]]
name = "sign"
worth = 3
aim = "1s"
deadline = "4s"
effect = "deduplicated"
group = "cell"
window = "5s"
`

// Every key of the platform's and the operators' files is read. `config show` prints the values as earlier releases
// did.
func TestGoldenConfiguration(t *testing.T) {
	var lines golden.Lines
	for _, test := range []struct{ name, platform, operator string }{
		{"platform", everyPlatformKey, ""},
		{"platform and operator", everyPlatformKey, everyOperatorKey},
		{"operator alone", "", everyOperatorKey + everyServiceKey},
	} {
		cfg, dir, err := load(t, test.platform, test.operator, nil)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		lines.Text("configuration", test.name)
		for _, setting := range cfg.Show() {
			lines.Text(setting.Field, setting.Value+" ("+strings.ReplaceAll(setting.From, dir+"/", "")+")")
		}
		lines.Text("not shown", valuesNotShown(cfg))
	}
	golden.Check(t, "configuration.golden", lines.Bytes())
}

// valuesNotShown returns the values that are read from the files but not returned by Show.
func valuesNotShown(cfg *Config) string {
	rollout, membership := cfg.Operator.Rollout, cfg.Operator.Membership
	return fmt.Sprint(
		rollout.HeartbeatInterval, rollout.UnresponsiveAfter, rollout.RequestTimeout, rollout.ReturnTimeout,
		rollout.WriteOffAfter, rollout.ObservationPeriod, rollout.MinSamples, rollout.MaxClockDrift,
		membership.Enabled, membership.ProbeInterval, membership.ProbeTimeout, membership.IndirectProbes, membership.SuspicionFactor,
		cfg.Peers.Listen, cfg.Peers.Broadcast,
		cfg.Policy.MaxPollInterval, cfg.Policy.DrainGrace, cfg.Policy.OverQuotaFraction, cfg.Policy.AffinityBudget,
		cfg.Policy.MaxEjectedFraction)
}

// An invalid configuration is reported as one line that names the field and, for the operators' file, the line.
func TestErrorIsOneLineThatNamesTheField(t *testing.T) {
	platform := func(old, replacement string) string { return strings.Replace(everyPlatformKey, old, replacement, 1) }
	operator := func(old, replacement string) string { return strings.Replace(everyOperatorKey, old, replacement, 1) }
	for _, test := range []struct{ platform, operator, want string }{
		{`{`, "", "LB_CONFIG"},
		{`{}`, "", "listen: "},
		{`{"listen":"here"}`, "", "listen: "},
		{`{"listen":"127.0.0.1:1","discovery":"there"}`, "", "discovery: "},
		{`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}`, "", "settings: "},
		{platform(`"2a"`, `"xyz"`), "", "seed: "},
		{platform(`"sockets":512`, `"sockets":5`), "", "limits.sockets: "},
		{platform(`"cores":0.5`, `"cores":-1`), "", "limits.cores: "},
		{platform(`"idempotent"`, `"potent"`), "", "settings: field lanes.semantics: "},
		{platform(`"lifecycle":"up"`, `"lifecycle":"no"`), "", "known: "},
		{platform(`"max_open":300`, `"max_open":0`), "", "settings: field limits.max_open: "},
		{platform(`"origin_kind":1`, `"origin_kind":9`), "", "settings: field family_info.origin_kind: "},
		{everyPlatformKey, operator(`idle = "50s"`, `idle = "1ms"`), "operator.toml:18: listener.idle: "},
		{everyPlatformKey, operator(`lease = "7s"`, `lease = "1ms"`), "operator.toml:30: rollout: "},
		{everyPlatformKey, operator(`"caller"`, `"nobody"`), "operator.toml:47: duties.hold: "},
		{everyPlatformKey, operator(`suspicion = 4`, `suspicion = -4`), "operator.toml:51: members: "},
		{"", everyOperatorKey + strings.Replace(everyServiceKey, `nodes = 5`, `nodes = 0`, 1), "service.nodes: "},
	} {
		_, dir, err := load(t, test.platform, test.operator, nil)
		if err == nil {
			t.Errorf("%s %s: got no error, want one with %q", test.platform, test.operator, test.want)
			continue
		}
		got := strings.ReplaceAll(err.Error(), dir+"/", "")
		if !strings.Contains(got, test.want) || strings.Contains(got, "\n") {
			t.Errorf("got the error %q, want one line with %q", got, test.want)
		}
	}
}
