package wireformat

import (
	"encoding/json"
	"time"

	"shelfproxy/internal/testbed/model"
)

// endpoint is an entry of the endpoint list in the discovery protocol.
type endpoint struct {
	ID      string  `json:"instanceId"`
	Address string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"` // start of the process in Unix milliseconds; 0 means long ago
}

// endpointList is a full endpoint list, or the changes of one, in the discovery protocol.
type endpointList struct {
	Version   int64      `json:"generation"`
	IsFull    bool       `json:"reset"`
	Endpoints []endpoint `json:"instances"`
}

// EncodeList encodes an endpoint list for a node, as one line of JSON without a line end. address returns the address of
// a slot for this node. unixMs converts a time of the run into Unix milliseconds.
func EncodeList(list model.List, address func(slot int) string, unixMs func(time.Duration) int64) []byte {
	encoded := endpointList{Version: list.Version, IsFull: list.IsFull, Endpoints: []endpoint{}}
	for _, entry := range list.Entries {
		listed := endpoint{ID: entry.ID, Address: address(entry.Slot), Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell,
			State: entry.State.String(), Weight: 1}
		if entry.Started > 0 {
			listed.Started = unixMs(entry.Started)
		}
		encoded.Endpoints = append(encoded.Endpoints, listed)
	}
	text, _ := json.Marshal(encoded) // can't fail, because the list holds only numbers, booleans and strings
	return text
}
