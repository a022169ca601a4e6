// Package peers moves datagrams between the nodes of a fleet by UDP. It decides nothing: it sends what it is given and hands over
// what comes in.
package peers

import (
	"fmt"
	"net/netip"
	"slices"
)

// Addresses says where the nodes of a fleet reach each other. All are of the form "IP:port".
type Addresses struct {
	Listen    string   // of this node
	Peers     []string // of all nodes by their indices, this one included
	Broadcast string   // reaches all nodes
}

// AddressError says which address of a configuration is invalid.
type AddressError struct {
	Field string // in the configuration, for instance "peers[2]"
	Err   error
}

// Error names the field and the cause.
func (e *AddressError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Err }

// The fields of the configuration that hold addresses.
const (
	fieldListen    = "peer_listen"
	fieldBroadcast = "peers_all"
)

// Validate returns an *AddressError for the first field that is no address.
func (a Addresses) Validate() error {
	_, _, err := a.parse()
	return err
}

// routes are the parsed addresses of a fleet. They are not changed once made.
type routes struct {
	broadcast netip.AddrPort
	nodes     []netip.AddrPort   // by index
	indices   map[netip.Addr]int // by address
}

// parse returns this node's address and the routes to the others.
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

// Self is this node's index among the peers, or -1 if it is not one of them.
func (a Addresses) Self() int { return slices.Index(a.Peers, a.Listen) }

// CountChanges is how many peers were added to or removed from a list to get another one.
func (a Addresses) CountChanges(b Addresses) int {
	return countMissing(a.Peers, b.Peers) + countMissing(b.Peers, a.Peers)
}

// countMissing is how many of the wanted are not in a list.
func countMissing(wanted, list []string) int {
	missing := 0
	for _, peer := range wanted {
		if !slices.Contains(list, peer) {
			missing++
		}
	}
	return missing
}
