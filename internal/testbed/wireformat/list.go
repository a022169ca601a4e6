package wireformat

import (
	"encoding/json"
	"time"

	"shelfproxy/internal/testbed/model"
)

// instance is an entry in the form of the protocol.
type instance struct {
	ID      string  `json:"instanceId"`
	Addr    string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

// list is a list in the form of the protocol.
type list struct {
	Version   int64      `json:"generation"`
	Whole     bool       `json:"reset"`
	Instances []instance `json:"instances"`
}

// EncodeList is a list as a node is told it, as one line of JSON: with the addresses of slots for that node, and the time of a run as
// Unix milliseconds.
func EncodeList(l model.List, addr func(slot int) string, unixMs func(time.Duration) int64) []byte {
	out := list{Version: l.Version, Whole: l.IsFull, Instances: []instance{}}
	for _, s := range l.Entries {
		in := instance{ID: s.ID, Addr: addr(s.Slot), Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, State: s.State.String(), Weight: 1}
		if s.Started > 0 {
			in.Started = unixMs(s.Started)
		}
		out.Instances = append(out.Instances, in)
	}
	text, _ := json.Marshal(out) // numbers and strings always can be
	return text
}
