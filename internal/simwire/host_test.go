package simwire

import (
	"bytes"
	"strings"
	"testing"
)

const setupBatch = `{"now":1000000,"parts":[{"router":"router/0","inbox":[{"type":"CONFIGURE","nonce64":7,"setup":` +
	`{"az":"north","replicas_of_me":2,"something_new":{"x":1},"lanes":[{"name":"get","worth":1,` +
	`"goal_time":500000,"semantics":"idempotent","key_scope":"all","window":0}],"accounts":[],` +
	`"machine_types":["box","source"],"family_info":{"mode":"aside","origin_kind":1},"weights":"none",` +
	`"registry_mode":"automatic","limits":{"probes":true,"max_attempts":3},"tick":5000,` +
	`"rules":{"cold_from":0.2,"warm_after":20000000,"overload_factor":3}}},` +
	`{"type":"CATALOG","bank":2,"records":[{"server":"10.0.0.1:1","site":"north","machine":"box","health":"live",` +
	`"units":1},{"server":"10.0.0.9:1","site":"north","machine":"source","health":"live","units":1}]},` +
	`{"type":"ANNOUNCE","scope":"cached","serial":1,"bank":2}]}]}`

func batch(events string) string {
	return `{"now":1005000,"parts":[{"router":"router/0","inbox":[` + events + `]}]}`
}

const requestMessage = `{"type":"ASK","request_id":41,"deadline":2000000,"route_key":"item/a","band":"get"}`

func run(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Host(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

func TestHostAnswersEachBatch(t *testing.T) {
	out, err := run(t, `{"now":5,"parts":[]}`, setupBatch, batch(requestMessage),
		batch(`{"type":"COMPLETED","request_id":41,"seq_no":0,"server":"10.0.0.1:1","delay_seen":900,"reason":8}`),
		batch(`{"type":"SOMETHING_NEW"},{"type":"DROPPED","request_id":99}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		`{"parts":[]}`,
		`{"parts":[{"router":"router/0","output":[{"type":"TIMER","time":1075455,"key_back":4611686018427387904}]}]}`,
		`{"parts":[{"router":"router/0","output":[{"type":"SEND","request_id":41,"server":"10.0.0.1:1"}]}]}`,
		`{"parts":[{"router":"router/0","output":[{"type":"SEND","request_id":41,"server":"10.0.0.9:1"}]}]}`,
		`{"parts":[]}`,
	}
	got := strings.Split(strings.TrimSpace(out), "\n")
	if len(got) != len(want) {
		t.Fatalf("got %d replies, want %d: %s", len(got), len(want), out)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("reply %d\n got %s\nwant %s", i, got[i], want[i])
		}
	}
}

func TestRouterThatWasPoweredOffAnswersNothingUntilItIsSetUp(t *testing.T) {
	out, err := run(t, setupBatch, batch(`{"type":"POWER_OFF"}`), batch(requestMessage), setupBatch, batch(requestMessage))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out, `"SEND"`); got != 1 {
		t.Errorf("got %d sends, want one, after the restart: %s", got, out)
	}
}

func TestErrorNamesMessageAndField(t *testing.T) {
	for text, want := range map[string]string{
		`{"now":`:                 "batch",
		batch(`{"request_id":1}`): "field type",
		batch(`{"type":"ANNOUNCE","scope":"odd"}`):                                     "ANNOUNCE: field scope",
		batch(`{"type":"ANNOUNCE","scope":"full","bank":9}`):                           "ANNOUNCE: field bank",
		batch(`{"type":"COMPLETED","reason":77}`):                                      "COMPLETED: field reason",
		batch(`{"type":"CATALOG","records":[{"server":"a","health":"odd"}]}`):          "CATALOG: field records.health",
		batch(`{"type":"CATALOG","records":[{"server":"","health":"live"}]}`):          "CATALOG: field records.server",
		batch(`{"type":"ASK","request_id":"text","deadline":2000000,"route_key":"k"}`): "request_id",
	} {
		if _, err := run(t, setupBatch, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got the error %v, want it to name %q", text, err, want)
		}
	}
}

func TestInvalidSettingsBailOut(t *testing.T) {
	for old, change := range map[string]string{
		`"replicas_of_me":2`: `"replicas_of_me":0`,
		`"origin_kind":1`:    `"origin_kind":8`,
		`"idempotent"`:       `"sometimes"`,
	} {
		out, err := run(t, strings.Replace(setupBatch, old, change, 1))
		if err != nil || !strings.Contains(out, "BAIL_OUT") {
			t.Errorf("%s: got %s and the error %v, want a BAIL_OUT", change, out, err)
		}
	}
}

// FuzzHost: after a router was configured, a line of arbitrary text is rejected with an error or skipped. It never
// causes a panic.
func FuzzHost(f *testing.F) {
	f.Add(batch(requestMessage))
	f.Add(batch(`{"type":"MESSAGE","src_peer":-1,"bytes":"zz"}`))
	f.Add(batch(`{"type":"COMPLETED","request_id":41,"seq_no":-1,"reason":3,"pressure":{"cpu":"x"}}`))
	f.Add(batch(`{"type":"ANNOUNCE","scope":"delta","bank":2},{"type":"HEALTH","server":"none","reason":1}`))
	f.Add(strings.Replace(setupBatch, `"tick":5000`, `"tick":-5`, 1))
	f.Fuzz(func(t *testing.T, text string) {
		var out bytes.Buffer
		if err := Host(strings.NewReader(setupBatch+"\n"+text+"\n"+batch(requestMessage)+"\n"), &out); err != nil && err.Error() == "" {
			t.Error("got an error without a text")
		}
	})
}
