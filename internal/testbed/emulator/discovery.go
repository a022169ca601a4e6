package emulator

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

const (
	// maxUnsentReplies is the maximum number of replies that wait to be sent on a watch. A watch with more is ended, because
	// replies to a node that does not read would accumulate without limit.
	maxUnsentReplies = 1024
	// readHeaderTimeout bounds how long a node may take to send the HTTP header of a call.
	readHeaderTimeout = 5 * time.Second
)

// discoveryServer serves the discovery service to one node, at an address of its own. All discovery servers send the same
// list of servers, but each with the addresses that its node uses.
type discoveryServer struct {
	emulator *Emulator
	node     int
	listener net.Listener
	server   *http.Server
}

// discoveryCall is an open call to the discovery service.
type discoveryCall struct {
	node    int
	replies chan model.DiscoveryReply // closed by the loop if the call has to be reset
}

// newDiscoveryServer binds the address of a node's discovery service. With port 0 the operating system chooses the port.
func (e *Emulator) newDiscoveryServer(node, port int) (*discoveryServer, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
	if err != nil {
		if port != 0 {
			return nil, &PortTakenError{port}
		}
		return nil, err
	}
	d := &discoveryServer{emulator: e, node: node, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serveHosts)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return d, nil
}

// serve serves calls until close is called.
func (d *discoveryServer) serve() { _ = d.server.Serve(d.listener) }

// close ends the server and its calls. It also closes the listener, which http.Server.Close does only after Serve.
func (d *discoveryServer) close() {
	_ = d.server.Close()
	_ = d.listener.Close()
}

// encodeList encodes an endpoint list for a node, with the addresses that the node uses.
func (e *Emulator) encodeList(list model.List, node int) []byte {
	return wireformat.EncodeList(list, func(slot int) string { return e.address(slot, node) },
		func(at time.Duration) int64 { return e.start.Add(at).UnixMilli() })
}

// serveHosts serves a call for the endpoint list, or a watch on the list.
func (d *discoveryServer) serveHosts(w http.ResponseWriter, r *http.Request) {
	emulator := d.emulator
	call, err := d.parseCall(r.URL.Query())
	if err != nil {
		http.Error(w, "after is no version", http.StatusBadRequest)
		return
	}
	emulator.counters.discoveryCalls.Add(1)
	open := &discoveryCall{node: d.node, replies: make(chan model.DiscoveryReply, maxUnsentReplies)}
	posted := emulator.post(func(now time.Duration) {
		emulator.calls[call.Call] = open
		emulator.step(now, call)
	})
	if !posted {
		return
	}
	defer emulator.post(func(now time.Duration) {
		if emulator.calls[call.Call] == open {
			delete(emulator.calls, call.Call)
			emulator.step(now, model.DiscoveryCancelled{Call: call.Call})
		}
	})
	d.sendReplies(r.Context(), w, open.replies)
}

// parseCall assigns an id to a call and parses its parameters. It fails if the version of a watch is not a number.
func (d *discoveryServer) parseCall(query url.Values) (model.DiscoveryCall, error) {
	call := model.DiscoveryCall{Call: d.emulator.lastCall.Add(1), Node: d.node, Watch: query.Has("watch")}
	if !call.Watch {
		return call, nil
	}
	var err error
	call.After, err = strconv.ParseInt(query.Get("after"), 10, 64)
	return call, err
}

// sendReplies writes the replies to a call until the call ends. A failure after the first reply resets the connection.
func (d *discoveryServer) sendReplies(ctx context.Context, w http.ResponseWriter, replies <-chan model.DiscoveryReply) {
	hasBegun := false
	for {
		select {
		case reply, ok := <-replies:
			switch {
			case !ok || reply.Failed && hasBegun:
				panic(http.ErrAbortHandler) // the server resets the connection
			case reply.Failed:
				http.Error(w, "discovery is not available", http.StatusServiceUnavailable)
				return
			}
			if !hasBegun {
				w.Header().Set("Content-Type", "application/json")
			}
			hasBegun = true
			written, err := w.Write(d.encodeReply(reply))
			d.emulator.counters.listBytes.Add(int64(written))
			if err != nil || reply.Ends {
				return
			}
			w.(http.Flusher).Flush()
		case <-ctx.Done():
			return
		}
	}
}

// encodeReply encodes a reply as one line. A heartbeat is an empty line.
func (d *discoveryServer) encodeReply(reply model.DiscoveryReply) []byte {
	if reply.List == nil {
		return []byte{'\n'}
	}
	return append(d.emulator.encodeList(*reply.List, d.node), '\n')
}

// replyToCall passes a reply of the model to the goroutine of its call. From here on the node counts as notified.
func (e *Emulator) replyToCall(now time.Duration, reply model.DiscoveryReply) {
	call := e.calls[reply.Call]
	if call == nil {
		return
	}
	if reply.List != nil {
		states := map[string]string{}
		for _, entry := range reply.List.Entries {
			states[entry.ID] = entry.State.String()
			e.checker.NodeKnowsStart(call.node, entry.ID, entry.Started)
		}
		e.checker.NodeNotified(now, call.node, reply.List.IsFull, states)
	}
	select {
	case call.replies <- reply:
	default:
		reply.Ends = true
		close(call.replies)
	}
	if reply.Ends {
		delete(e.calls, reply.Call)
	}
}
