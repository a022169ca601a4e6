package simwire

import (
	"encoding/hex"
	"fmt"

	"shelfproxy/internal/policy"
)

// Reply is one line of output: the actions that a batch led to.
type Reply struct {
	Parts []ReplyPart `json:"parts"`
}

// ReplyPart holds the actions of one router, in order.
type ReplyPart struct {
	Router string   `json:"router"`
	Output []Output `json:"output"`
}

// Output is an action of any type; Type tells which of the fields it uses. The fields have the same order as in the
// JSON.
type Output struct {
	Type       string  `json:"type"`
	ID         *uint64 `json:"request_id,omitempty"`
	Server     string  `json:"server,omitempty"`
	Attempt    *int    `json:"seq_no,omitempty"`
	RetryAfter int64   `json:"hold_off,omitempty"`
	Time       *int64  `json:"time,omitempty"`
	Token      *uint64 `json:"key_back,omitempty"`
	On         bool    `json:"on,omitempty"`
	Bytes      string  `json:"bytes,omitempty"`
	ReasonText string  `json:"reason_text,omitempty"`
}

// Encode converts an action of the policy. It returns an error for an action that has no form on the wire.
func Encode(action policy.Action) (Output, error) {
	switch action := action.(type) {
	case policy.Send:
		return Output{Type: "SEND", ID: &action.ID, Server: action.Server}, nil
	case policy.Reject:
		return Output{Type: "SAY_NO", ID: &action.ID, RetryAfter: action.RetryAfter.Microseconds()}, nil
	case policy.Fail:
		return Output{Type: "FAIL", ID: &action.ID}, nil
	case policy.Cancel:
		return Output{Type: "REVOKE", ID: &action.ID, Attempt: &action.Attempt}, nil
	case policy.HealthCheck:
		return Output{Type: "PROBE", Server: action.Server}, nil
	case policy.CloseIdle:
		return Output{Type: "DISCONNECT", Server: action.Server}, nil
	case policy.SetTimer:
		at := action.At.Microseconds()
		return Output{Type: "TIMER", Time: &at, Token: &action.Token}, nil
	case policy.Subscribe:
		return Output{Type: "SUBSCRIBE", On: true}, nil
	case policy.Gossip: // becomes a SAY message without a peer, which goes to all peers
		return Output{Type: "SAY", Bytes: hex.EncodeToString(action.Data)}, nil
	case policy.Log:
		return Output{Type: "RECORD", ReasonText: action.Text}, nil
	}
	return Output{}, fmt.Errorf("action %T has no form on the wire", action)
}
