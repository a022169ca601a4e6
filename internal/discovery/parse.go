package discovery

import (
	"fmt"
	"net"

	"github.com/valyala/fastjson"
)

// statesByName are the values of the JSON field "lifecycle".
var statesByName = map[string]State{"up": Up, "draining": Draining, "removed": Removed}

// Parse reads an endpoint list from its JSON form. Its errors are of type *ParseError.
func Parse(value *fastjson.Value) (List, error) {
	list := List{Version: value.GetInt64("generation"), IsFull: value.GetBool("reset")}
	if value.Get("generation") == nil || value.Get("instances") == nil {
		return list, &ParseError{Field: "generation or instances", Problem: "missing"}
	}
	for i, instance := range value.GetArray("instances") {
		server, err := parseServer(fmt.Sprintf("instances[%d]", i), instance)
		if err != nil {
			return list, err
		}
		list.Servers = append(list.Servers, server)
	}
	return list, nil
}

// parseServer reads the entry of a list at path.
func parseServer(path string, instance *fastjson.Value) (Server, error) {
	server := Server{
		ID:        string(instance.GetStringBytes("instanceId")),
		Addr:      string(instance.GetStringBytes("hostPort")),
		Zone:      string(instance.GetStringBytes("zone")),
		Kind:      string(instance.GetStringBytes("machineType")),
		Cell:      instance.GetInt("cell"),
		Weight:    instance.GetFloat64("weight"),
		StartedMs: instance.GetInt64("startedAtMs"),
	}
	state, known := statesByName[string(instance.GetStringBytes("lifecycle"))]
	if !known || server.ID == "" {
		return server, &ParseError{Field: path, Problem: "no instanceId, or an unknown lifecycle"}
	}
	server.State = state
	// A removed server needs no address.
	if _, _, err := net.SplitHostPort(server.Addr); err != nil && state != Removed {
		return server, &ParseError{Field: path + ".hostPort", Problem: fmt.Sprintf("%q is no host and port", server.Addr)}
	}
	return server, nil
}
