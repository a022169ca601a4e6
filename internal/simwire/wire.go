// Package wire translates between birch-d007, the simulator's lines of JSON, and the types of package brain.
package simwire

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shelfproxy/internal/config"
	"shelfproxy/internal/policy"
)

// Batch is one line of input: what happened at one time.
type Batch struct {
	Now   int64  `json:"now"` // microseconds
	Parts []Part `json:"parts"`
}

// Part holds the events of one router.
type Part struct {
	Router string    `json:"router"`
	Inbox  []Message `json:"inbox"`
}

// Message is any event; Type tells which of the fields it uses.
type Message struct {
	Type     string          `json:"type"`
	ID       uint64          `json:"request_id"`
	Deadline int64           `json:"deadline"`
	Billing  string          `json:"billing"`
	RouteKey string          `json:"route_key"`
	Band     string          `json:"band"`
	Update   bool            `json:"update"`
	SeqNo    int             `json:"seq_no"`
	Server   string          `json:"server"`
	Delay    int64           `json:"delay_seen"`
	Ended    bool            `json:"ended"`
	Reason   int             `json:"reason"`
	KeyBack  uint64          `json:"key_back"`
	Scope    string          `json:"scope"`
	Bank     int             `json:"bank"`
	Records  []Record        `json:"records"`
	Nonce    uint64          `json:"nonce64"`
	Setup    json.RawMessage `json:"setup"`
	SrcPeer  int             `json:"src_peer"`
	Bytes    string          `json:"bytes"`
}

// Record is one entry of a server list.
type Record struct {
	Server    string  `json:"server"`
	Site      string  `json:"site"`
	Machine   string  `json:"machine"`
	Cluster   int     `json:"cluster"`
	Health    string  `json:"health"`
	Units     float64 `json:"units"`
	LastStart int64   `json:"last_start"`
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

var scopes = map[string]policy.EndpointScope{"delta": policy.DeltaUpdate, "full": policy.FullUpdate, "cached": policy.CachedList,
	"failed": policy.PollFailed}

var states = map[string]policy.ServerState{"live": policy.Live, "quiescing": policy.Draining, "dead": policy.Removed}

var reasons = []policy.Reason{policy.Errored, policy.Succeeded, policy.Rejected, policy.TimedOut, policy.NoConnection,
	policy.Reset, policy.Cancelled, policy.NeverSent, policy.Miss}

// ParseServers reads the entries of a CATALOG message.
func ParseServers(records []Record) ([]policy.Server, error) {
	servers := make([]policy.Server, len(records))
	for i, rec := range records {
		state, err := config.ParseEnum(states, "records.health", rec.Health)
		if err != nil {
			return nil, fmt.Errorf("CATALOG: %w", err)
		}
		if rec.Server == "" {
			return nil, errors.New("CATALOG: field records.server: empty")
		}
		servers[i] = policy.Server{ID: rec.Server, Zone: rec.Site, Kind: rec.Machine, Cell: rec.Cluster,
			State: state, Capacity: rec.Units, StartedAt: micros(rec.LastStart)}
	}
	return servers, nil
}

// Event translates a message into an event of the module. It returns nil for a type it does not know, and
// takes the servers of an ANNOUNCE from banks.
func (m *Message) Event(banks map[int][]policy.Server) (policy.Event, error) {
	switch m.Type {
	case "ASK":
		return policy.Request{ID: m.ID, Key: m.RouteKey, Class: m.Band, Tenant: m.Billing,
			Deadline: micros(m.Deadline), Write: m.Update}, nil
	case "COMPLETED":
		reason, err := m.reason()
		return policy.Outcome{ID: m.ID, Attempt: m.SeqNo, Server: m.Server, Reason: reason,
			Took: micros(m.Delay), Ended: m.Ended}, err
	case "DEADLINE_HIT":
		return policy.TimerFired{Token: m.KeyBack}, nil
	case "DROPPED":
		return policy.ClientDisconnected{ID: m.ID}, nil
	case "MESSAGE":
		data, err := hex.DecodeString(m.Bytes)
		if err != nil {
			return nil, fmt.Errorf("MESSAGE: field bytes: %w", err)
		}
		return policy.GossipReceived{From: m.SrcPeer, Data: data}, nil
	case "ESTABLISHED":
		return policy.ResponseStarted{ID: m.ID, Attempt: m.SeqNo}, nil
	case "HEALTH":
		reason, err := m.reason()
		return policy.HealthChecked{Server: m.Server, Reason: reason}, err
	case "ANNOUNCE":
		scope, err := config.ParseEnum(scopes, "scope", m.Scope)
		if err != nil {
			return nil, fmt.Errorf("ANNOUNCE: %w", err)
		}
		list := policy.EndpointUpdate{Scope: scope}
		if scope != policy.PollFailed {
			servers, ok := banks[m.Bank]
			if !ok {
				return nil, fmt.Errorf("ANNOUNCE: field bank: no CATALOG %d", m.Bank)
			}
			list.Servers = servers
		}
		return list, nil
	}
	return nil, nil
}

func (m *Message) reason() (policy.Reason, error) {
	if m.Reason < 0 || m.Reason >= len(reasons) {
		return 0, fmt.Errorf("%s: field reason: unknown value %d", m.Type, m.Reason)
	}
	return reasons[m.Reason], nil
}

// Output is an action as the wire writes it.
type Output struct {
	Type       string  `json:"type"`
	ID         *uint64 `json:"request_id,omitempty"`
	Server     string  `json:"server,omitempty"`
	SeqNo      *int    `json:"seq_no,omitempty"`
	HoldOff    int64   `json:"hold_off,omitempty"`
	Time       *int64  `json:"time,omitempty"`
	KeyBack    *uint64 `json:"key_back,omitempty"`
	On         bool    `json:"on,omitempty"`
	Bytes      string  `json:"bytes,omitempty"`
	ReasonText string  `json:"reason_text,omitempty"`
}

// Reply is one line of output.
type Reply struct {
	Parts []ReplyPart `json:"parts"`
}

// ReplyPart holds the actions of one router.
type ReplyPart struct {
	Router string   `json:"router"`
	Output []Output `json:"output"`
}

// Encode translates an action of the module.
func Encode(a policy.Action) (Output, error) {
	switch a := a.(type) {
	case policy.Send:
		return Output{Type: "SEND", ID: &a.ID, Server: a.Server}, nil
	case policy.Reject:
		return Output{Type: "SAY_NO", ID: &a.ID, HoldOff: a.RetryAfter.Microseconds()}, nil
	case policy.Fail:
		return Output{Type: "FAIL", ID: &a.ID}, nil
	case policy.Cancel:
		return Output{Type: "REVOKE", ID: &a.ID, SeqNo: &a.Attempt}, nil
	case policy.HealthCheck:
		return Output{Type: "PROBE", Server: a.Server}, nil
	case policy.CloseIdle:
		return Output{Type: "DISCONNECT", Server: a.Server}, nil
	case policy.SetTimer:
		at := a.At.Microseconds()
		return Output{Type: "TIMER", Time: &at, KeyBack: &a.Token}, nil
	case policy.Subscribe:
		return Output{Type: "SUBSCRIBE", On: true}, nil
	case policy.Gossip: // without a peer it goes to all
		return Output{Type: "SAY", Bytes: hex.EncodeToString(a.Data)}, nil
	case policy.Log:
		return Output{Type: "RECORD", ReasonText: a.Text}, nil
	}
	return Output{}, fmt.Errorf("action %T has no form on the wire", a)
}
