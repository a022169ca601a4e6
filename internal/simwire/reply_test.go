package simwire

import (
	"encoding/json"
	"testing"
	"time"

	"shelfproxy/internal/policy"
)

func TestEachActionHasItsFormOnTheWire(t *testing.T) {
	for _, test := range []struct {
		action policy.Action
		want   string
	}{
		{policy.Send{ID: 41, Server: "a:1"}, `{"type":"SEND","request_id":41,"server":"a:1"}`},
		{policy.Reject{ID: 41}, `{"type":"SAY_NO","request_id":41}`},
		{policy.Reject{ID: 41, RetryAfter: 5 * time.Millisecond}, `{"type":"SAY_NO","request_id":41,"hold_off":5000}`},
		{policy.Fail{ID: 0}, `{"type":"FAIL","request_id":0}`},
		{policy.Cancel{ID: 41, Attempt: 0}, `{"type":"REVOKE","request_id":41,"seq_no":0}`},
		{policy.HealthCheck{Server: "a:1"}, `{"type":"PROBE","server":"a:1"}`},
		{policy.CloseIdle{Server: "a:1"}, `{"type":"DISCONNECT","server":"a:1"}`},
		{policy.SetTimer{At: time.Second, Token: 3}, `{"type":"TIMER","time":1000000,"key_back":3}`},
		{policy.Subscribe{}, `{"type":"SUBSCRIBE","on":true}`},
		{policy.Gossip{Data: []byte{0xab, 1}}, `{"type":"SAY","bytes":"ab01"}`},
		{policy.Log{Text: "x"}, `{"type":"RECORD","reason_text":"x"}`},
	} {
		output, err := Encode(test.action)
		if err != nil {
			t.Errorf("%T: %v", test.action, err)
			continue
		}
		got, err := json.Marshal(output)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != test.want {
			t.Errorf("%T: got %s, want %s", test.action, got, test.want)
		}
	}
}

func TestActionWithoutAFormOnTheWireIsAnError(t *testing.T) {
	if output, err := Encode(policy.Announce{}); err == nil {
		t.Errorf("got %+v, want an error", output)
	}
}
