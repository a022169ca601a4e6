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

// Batch is one line of input: the events of one point in time.
type Batch struct {
	Now   int64  `json:"now"` // in microseconds, as are all times on the wire
	Parts []Part `json:"parts"`
}

// Part holds the events of one router, in order.
type Part struct {
	Router string    `json:"router"`
	Inbox  []Message `json:"inbox"`
}

// Message is an event of any type; Type tells which of the fields it uses.
type Message struct {
	Type     string          `json:"type"`
	ID       uint64          `json:"request_id"`
	Deadline int64           `json:"deadline"`
	Tenant   string          `json:"billing"`
	Key      string          `json:"route_key"`
	Class    string          `json:"band"`
	IsWrite  bool            `json:"update"`
	Attempt  int             `json:"seq_no"`
	Server   string          `json:"server"`
	Latency  int64           `json:"delay_seen"`
	Ended    bool            `json:"ended"`
	Reason   int             `json:"reason"`
	Token    uint64          `json:"key_back"`
	Scope    string          `json:"scope"`
	Bank     int             `json:"bank"` // number of a list of servers
	Records  []Record        `json:"records"`
	Seed     uint64          `json:"nonce64"`
	Setup    json.RawMessage `json:"setup"`
	SrcPeer  int             `json:"src_peer"`
	Bytes    string          `json:"bytes"` // data of a MESSAGE, in hex
}

// Record is one server in a list of servers.
type Record struct {
	Server    string  `json:"server"`
	Zone      string  `json:"site"`
	Kind      string  `json:"machine"`
	Cell      int     `json:"cluster"`
	State     string  `json:"health"`
	Capacity  float64 `json:"units"`
	StartedAt int64   `json:"last_start"`
}

var scopes = map[string]policy.EndpointScope{
	"delta":  policy.DeltaUpdate,
	"full":   policy.FullUpdate,
	"cached": policy.CachedList,
	"failed": policy.PollFailed,
}

var states = map[string]policy.ServerState{
	"live":      policy.Live,
	"quiescing": policy.Draining,
	"dead":      policy.Removed,
}

// reasons lists the outcomes of attempts and health checks. The index is the number of the outcome on the wire.
var reasons = []policy.Reason{
	policy.Errored,
	policy.Succeeded,
	policy.Rejected,
	policy.TimedOut,
	policy.NoConnection,
	policy.Reset,
	policy.Cancelled,
	policy.NeverSent,
	policy.Miss,
}

// ParseServers converts the servers of a CATALOG message. It returns an error that names the field of the first record
// that cannot be used.
func ParseServers(records []Record) ([]policy.Server, error) {
	servers := make([]policy.Server, len(records))
	for i, record := range records {
		state, err := config.ParseEnum(states, "records.health", record.State)
		if err != nil {
			return nil, fmt.Errorf("CATALOG: %w", err)
		}
		if record.Server == "" {
			return nil, errors.New("CATALOG: field records.server: empty")
		}
		servers[i] = policy.Server{
			ID:        record.Server,
			Zone:      record.Zone,
			Kind:      record.Kind,
			Cell:      record.Cell,
			State:     state,
			Capacity:  record.Capacity,
			StartedAt: micros(record.StartedAt),
		}
	}
	return servers, nil
}

// Event converts a message into an event of the policy. banks holds the servers of each list by the number of the list.
// Event returns nil for a message of an unknown type, and an error that names the field for a value that cannot be
// used.
func (m *Message) Event(banks map[int][]policy.Server) (policy.Event, error) {
	switch m.Type {
	case "ASK":
		return policy.Request{ID: m.ID, Key: m.Key, Class: m.Class, Tenant: m.Tenant,
			Deadline: micros(m.Deadline), Write: m.IsWrite}, nil
	case "COMPLETED":
		reason, err := m.reason()
		return policy.Outcome{ID: m.ID, Attempt: m.Attempt, Server: m.Server, Reason: reason,
			Took: micros(m.Latency), Ended: m.Ended}, err
	case "DEADLINE_HIT":
		return policy.TimerFired{Token: m.Token}, nil
	case "DROPPED":
		return policy.ClientDisconnected{ID: m.ID}, nil
	case "MESSAGE":
		data, err := hex.DecodeString(m.Bytes)
		if err != nil {
			return nil, fmt.Errorf("MESSAGE: field bytes: %w", err)
		}
		return policy.GossipReceived{From: m.SrcPeer, Data: data}, nil
	case "ESTABLISHED":
		return policy.ResponseStarted{ID: m.ID, Attempt: m.Attempt}, nil
	case "HEALTH":
		reason, err := m.reason()
		return policy.HealthChecked{Server: m.Server, Reason: reason}, err
	case "ANNOUNCE":
		return m.endpointUpdate(banks)
	}
	return nil, nil
}

// endpointUpdate converts an ANNOUNCE message into an event of the policy.
func (m *Message) endpointUpdate(banks map[int][]policy.Server) (policy.Event, error) {
	scope, err := config.ParseEnum(scopes, "scope", m.Scope)
	if err != nil {
		return nil, fmt.Errorf("ANNOUNCE: %w", err)
	}
	if scope == policy.PollFailed {
		return policy.EndpointUpdate{Scope: scope}, nil
	}
	servers, ok := banks[m.Bank]
	if !ok {
		return nil, fmt.Errorf("ANNOUNCE: field bank: no CATALOG %d", m.Bank)
	}
	return policy.EndpointUpdate{Scope: scope, Servers: servers}, nil
}

func (m *Message) reason() (policy.Reason, error) {
	if m.Reason < 0 || m.Reason >= len(reasons) {
		return 0, fmt.Errorf("%s: field reason: unknown value %d", m.Type, m.Reason)
	}
	return reasons[m.Reason], nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
