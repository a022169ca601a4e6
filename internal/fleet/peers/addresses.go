// Package peers sends datagrams to the other nodes of a fleet over UDP, and receives datagrams from them. It does not interpret
// the content of datagrams.
package peers

import (
	"fmt"
	"net/netip"
	"slices"
)

// Addresses holds the UDP addresses at which the nodes of a fleet reach each other. Each address has the form "IP:port".
type Addresses struct {
	Listen    string   // address of this node
	Peers     []string // addresses of all nodes by index, this one included
	Broadcast string   // address that reaches all nodes
}

// AddressError says which address of a configuration is invalid.
type AddressError struct {
	Field string // field of the configuration, for instance "peers[2]"
	Err   error
}

// Error returns the name of the field and the cause.
func (e *AddressError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause of the error.
func (e *AddressError) Unwrap() error { return e.Err }

// The fields of the configuration that hold addresses.
const (
	fieldListen    = "peer_listen"
	fieldBroadcast = "peers_all"
)

// Validate returns an *AddressError for the first field that does not hold a valid address.
func (a Addresses) Validate() error {
	_, _, err := a.parse()
	return err
}

// routes holds the parsed addresses of a fleet. A routes value is not changed after parse has returned it.
type routes struct {
	broadcast netip.AddrPort
	nodes     []netip.AddrPort   // addresses of all nodes by index
	indices   map[netip.Addr]int // index of each node by its IP address
}

// parse returns this node's address and the routes to all nodes.
func (a Addresses) parse() (listen netip.AddrPort, _ *routes, err error) {
	if listen, err = parseAddress(fieldListen, a.Listen); err != nil {
		return listen, nil, err
	}
	r := &routes{indices: map[netip.Addr]int{}}
	if r.broadcast, err = parseAddress(fieldBroadcast, a.Broadcast); err != nil {
		return listen, nil, err
	}
	for i, peer := range a.Peers {
		address, err := parseAddress(fmt.Sprintf("peers[%d]", i), peer)
		if err != nil {
			return listen, nil, err
		}
		r.nodes = append(r.nodes, address)
		r.indices[address.Addr()] = i
	}
	return listen, r, nil
}

func parseAddress(field, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, &AddressError{Field: field, Err: err}
	}
	return address, nil
}

// Self returns this node's index in Peers, or -1 if Listen is not one of Peers.
func (a Addresses) Self() int { return slices.Index(a.Peers, a.Listen) }

// CountChanges returns how many peers have to be added and removed to get from the peers of a to the peers of b.
func (a Addresses) CountChanges(b Addresses) int {
	return countMissing(a.Peers, b.Peers) + countMissing(b.Peers, a.Peers)
}

// countMissing returns how many of the wanted peers are not in a list.
func countMissing(wanted, list []string) int {
	missing := 0
	for _, peer := range wanted {
		if !slices.Contains(list, peer) {
			missing++
		}
	}
	return missing
}
