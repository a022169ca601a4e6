package emulator

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

// discovery is the discovery service as one node reaches it. All of them tell of one roster.
type discovery struct {
	e    *Emulator
	node int
	ln   net.Listener
	srv  *http.Server
}

// call is a call of discovery that is open.
type call struct {
	node  int
	lines chan model.DiscoveryReply
}

// behind is how many lines a watch may be behind before it is ended, as a node that does not read would have them
// pile up.
const behind = 1024

func (e *Emulator) newDiscovery(node, port int) (*discovery, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
	if err != nil {
		if port != 0 {
			return nil, &PortTakenError{port}
		}
		return nil, err
	}
	d := &discovery{e: e, node: node, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.hosts)
	d.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return d, nil
}

func (d *discovery) serve() { d.srv.Serve(d.ln) }

func (d *discovery) close() {
	d.srv.Close()
	d.ln.Close()
}

// wire words a list as a node is told it.
func (e *Emulator) wire(l model.List, node int) []byte {
	return wireformat.EncodeList(l, func(slot int) string { return e.addr(slot, node) },
		func(at time.Duration) int64 { return e.start.Add(at).UnixMilli() })
}

func (d *discovery) hosts(w http.ResponseWriter, r *http.Request) {
	e := d.e
	q := r.URL.Query()
	ask := model.DiscoveryCall{Call: e.nextCall.Add(1), Node: d.node, Watch: q.Has("watch")}
	if ask.Watch {
		after, err := strconv.ParseInt(q.Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is no version", http.StatusBadRequest)
			return
		}
		ask.After = after
	}
	e.stats.Calls.Add(1)
	c := &call{node: d.node, lines: make(chan model.DiscoveryReply, behind)}
	if !e.post(func(now time.Duration) {
		e.calls[ask.Call] = c
		e.carry(now, e.portal.Step(now, ask))
	}) {
		return
	}
	defer e.post(func(now time.Duration) {
		if e.calls[ask.Call] == c {
			delete(e.calls, ask.Call)
			e.carry(now, e.portal.Step(now, model.DiscoveryCancelled{Call: ask.Call}))
		}
	})
	begun := false
	for {
		select {
		case t, ok := <-c.lines:
			switch {
			case !ok || t.Failed && begun:
				panic(http.ErrAbortHandler) // a reset
			case t.Failed:
				http.Error(w, "discovery is not available", http.StatusServiceUnavailable)
				return
			}
			if !begun {
				w.Header().Set("Content-Type", "application/json")
			}
			begun = true
			line := []byte{'\n'}
			if t.List != nil {
				line = append(e.wire(*t.List, d.node), '\n')
			}
			if _, err := w.Write(line); err != nil || t.Ends {
				return
			}
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// told hands a call what discovery writes to it. What a watch was told counts from here on.
func (e *Emulator) told(now time.Duration, t model.DiscoveryReply) {
	c := e.calls[t.Call]
	if c == nil {
		return
	}
	if t.List != nil {
		states := map[string]string{}
		for _, s := range t.List.Entries {
			states[s.ID] = s.State.String()
			e.check.NodeKnowsStart(c.node, s.ID, s.Started)
		}
		e.check.NodeNotified(now, c.node, t.List.IsFull, states)
	}
	select {
	case c.lines <- t:
	default:
		t.Ends = true
		close(c.lines)
	}
	if t.Ends {
		delete(e.calls, t.Call)
	}
}
