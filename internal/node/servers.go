package node

import (
	"errors"
	"maps"
	"slices"
	"time"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/upstream"
)

var serverStates = map[discovery.State]policy.ServerState{discovery.Up: policy.Live,
	discovery.Draining: policy.Draining, discovery.Removed: policy.Removed}

// list takes news of the list: the pools learn of it first, so that nothing queued before goes to a server that
// has left, then the module.
func (n *Core) list(l discovery.List, scope policy.EndpointScope) {
	event := policy.EndpointUpdate{Scope: scope}
	named := map[string]bool{}
	l.Servers = n.succeeded(l)
	for _, d := range l.Servers {
		named[d.ID] = true
		event.Servers = append(event.Servers, policy.Server{ID: d.ID, Zone: d.Zone, Kind: d.Kind, Cell: d.Cell,
			State: serverStates[d.State], Capacity: d.Weight, StartedAt: time.Duration(d.StartedMs) * time.Millisecond})
		s := n.servers[d.ID]
		if s == nil {
			s = &server{Server: d}
			origin := n.opt.Policy.OriginKind != "" && d.Kind == n.opt.Policy.OriginKind
			s.up = n.opt.NewUpstream(d, origin, n.own.ReportOutcome)
			n.servers[d.ID] = s
		}
		addr := d.Addr
		if d.State == discovery.Removed && addr == "" {
			addr = s.Addr
		}
		s.Server, s.Addr = d, addr
		n.leave(s, addr, d.State != discovery.Up)
	}
	if scope != policy.DeltaUpdate {
		for _, id := range slices.Sorted(maps.Keys(n.servers)) {
			if s := n.servers[id]; !named[id] {
				s.State = discovery.Removed
				n.leave(s, s.Addr, true)
			}
		}
	}
	for id, s := range n.servers { // else a long life of replaced servers would fill the memory
		if s.State == discovery.Removed && s.out == 0 && len(s.probes) == 0 {
			delete(n.servers, id)
		}
	}
	n.tell(event)
}

// succeeded is the entries of a list, and those of servers whose place another one has taken: a process that started later at the
// same address. What is meant for the one that was there before would come to its successor, which is cold, as work that was
// never counted as its own; and the list names the end of the one and the start of the other in any order.
func (n *Core) succeeded(l discovery.List) []discovery.Server {
	all := slices.Clone(l.Servers)
	newest := map[string]discovery.Server{} // by address
	named := map[string]bool{}
	for _, s := range l.Servers {
		named[s.ID] = true
		if s.State != discovery.Removed && s.StartedMs >= newest[s.Addr].StartedMs {
			newest[s.Addr] = s
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.servers)) {
		if s := n.servers[id]; !named[id] && !l.IsFull && s.State != discovery.Removed {
			if s.StartedMs > newest[s.Addr].StartedMs {
				newest[s.Addr] = s.Server
			}
			all = append(all, s.Server)
		}
	}
	for i, s := range all {
		if o := newest[s.Addr]; s.State == discovery.Up && o.StartedMs > s.StartedMs {
			all[i].State = discovery.Removed
		}
	}
	return slices.DeleteFunc(all, func(s discovery.Server) bool {
		return !named[s.ID] && s.State != discovery.Removed // no news
	})
}

// leave updates a server's pool.
func (n *Core) leave(s *server, addr string, left bool) {
	for _, f := range s.up.Update(addr, left) {
		n.landed(f, upstream.Response{Outcome: upstream.ServerDraining})
	}
}

// AttemptEnded takes the end of a forward from its pool.
func (n *Core) AttemptEnded(f *upstream.Attempt, a upstream.Response) {
	n.landed(f, a)
	n.settle()
}

func (n *Core) landed(f *upstream.Attempt, a upstream.Response) {
	if f.Request == nil {
		if srv := n.servers[f.Server]; srv != nil {
			n.probed(srv, f, a.Outcome)
		}
		return
	}
	n.reported(f, a)
}

// agentRetry is the pause before a watch on an agent that ended is opened again. The agent is on this machine and answers
// at no cost, and what it has counts as told to this node: the pause only keeps a dead one from being called in a loop.
const agentRetry = 100 * time.Millisecond

// pushed says that the list is sent to this node unasked. On sockets that is an agent on its machine, which has to be
// listened to: the module, which is told of lists and asks for none there, knows nothing of it.
func (n *Core) pushed() bool { return !n.opt.Policy.MustPoll }

// subscribe starts a watch. While a healthy one runs there is nothing to ask for.
func (n *Core) subscribe() {
	if n.healthy {
		return
	}
	if n.stopWatch != nil {
		n.stopWatch()
	}
	n.opt.Counters.Watches.Add(1)
	n.watch++
	number := n.watch
	n.stopWatch = n.opt.Source.Watch(n.held.Version(), func(l discovery.List, err error) {
		n.own.PostListUpdate(func() {
			n.watched(number, l, err)
			n.settle()
		})
	})
}

// FollowDiscovery moves the watch to another source, which knows the same list under the same versions: discovery is one
// service, whatever its address. What the old watch still reports is dropped.
func (n *Core) FollowDiscovery(source discovery.Source) {
	n.opt.Source, n.healthy = source, false
	n.subscribe()
}

// watched takes a report of a watch. One that broke is told to the module, which asks anew in its own time.
func (n *Core) watched(number int, l discovery.List, err error) {
	if number != n.watch {
		return
	}
	refused := false
	if err == nil {
		if err = n.held.Accept(l); err != nil {
			refused = true
			n.stopWatch()
		}
	}
	switch {
	case err != nil:
		switch {
		case refused:
			n.opt.Counters.ListsRejected.Add(1)
		case errors.Is(err, discovery.ErrMalformed):
			n.opt.Counters.WatchesMalformed.Add(1)
		default:
			n.opt.Counters.WatchesBroken.Add(1)
		}
		n.opt.Log.Warn("the watch on discovery ended; the list held before stays", logs.Event, "watch_ended",
			"error", err.Error(), "held", n.held.Version(), "came", l.Version)
		n.healthy, n.watch = false, n.watch+1
		if n.pushed() {
			n.at(n.own.Now().Add(agentRetry), n.subscribe)
		} else {
			n.tell(policy.EndpointUpdate{Scope: policy.PollFailed})
		}
	default:
		n.opt.Counters.Lists.Add(1)
		n.healthy = true
		scope := policy.DeltaUpdate
		if l.IsFull {
			scope = policy.FullUpdate
		}
		n.list(l, scope)
	}
}
