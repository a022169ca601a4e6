package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/config"
	"shelfproxy/internal/control"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/fleet/lease"
	dutyAgent "shelfproxy/internal/fleet/lease/agent"
	"shelfproxy/internal/fleet/membership"
	memberAgent "shelfproxy/internal/fleet/membership/agent"
	"shelfproxy/internal/fleet/peers"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/fleet/rollout/agent"
	"shelfproxy/internal/listener"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/node"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/supervisor/handover"
	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"
)

// unsent is how long before the last moment connections are closed with what they could not take.
const unsent = 200 * time.Millisecond

// sharedFor is how old the forward may be that another is written behind: past that it is slow, and so would be the
// one behind it. A hit takes 30 to 100 ms on the machines that the deployment names, and the shortest aim is 520 ms.
const sharedFor = 100 * time.Millisecond

// daemon is the running node and what signals do to it.
type daemon struct {
	cfg   *config.Config
	file  string
	log   *slog.Logger
	count *counters.Counters
	node  *node.Node
	front *listener.Listener

	agent            *agent.Agent           // nil where nodes go when they are told
	duties           *dutyAgent.Agent       // nil where each node does for itself
	members          *memberAgent.Agent     // nil where nobody looks who is there
	socket           *peers.Socket          // nil where nodes may not talk to each other
	parent           *handover.Parent       // a supervisor, if one started this process
	told             rollout.ResponseCounts // to the supervisor
	leave            chan struct{}
	memory           admission.MemoryPressure
	pressure         float64 // as the node was told
	split            *admission.DescriptorSplit
	targets, origins *upstream.DescriptorBudget
}

func run(cfg *config.Config, file string) error {
	// From here on, as a signal that is not caught ends the program. One of a kind that waits is enough: it is
	// looked at after the others came.
	hup, term, usr := catch(syscall.SIGHUP), catch(syscall.SIGTERM, syscall.SIGINT), catch(syscall.SIGUSR1)
	replaced := catch(handover.ReplacedSignal)
	parent, err := handover.Inherit()
	if err != nil {
		return err
	}
	d, err := assemble(cfg, file, parent, term)
	if errors.Is(err, errStopped) {
		return nil // it had taken nothing
	}
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		d.node.Run(stop)
		close(ended)
	}()
	go d.front.Serve()
	if d.agent != nil {
		go d.agent.Serve(ended)
		d.agent.Post(rollout.ServingStarted{})
	}
	if d.duties != nil {
		go d.duties.Serve(ended)
	}
	if d.members != nil {
		go d.members.Serve(ended)
	}
	go d.serveControl(d.cfg.Operator.Rollout.Control, ended)
	d.log.Info("the node is up", logs.Event, "started", "name", cfg.Name, "listen", cfg.Listen, "cores", cfg.Cores,
		"memory_mb", cfg.MemoryMB, "sockets", cfg.Sockets)
	parent.ReportReady()

	begun := time.Now()
	looks := time.NewTicker(look)
	defer looks.Stop()
	var over <-chan struct{} // once SIGTERM came; reloads go on until then
	end := func(what, event string) {
		if over != nil {
			return
		}
		d.log.Info(what, logs.Event, event)
		if d.agent != nil {
			d.agent.Post(rollout.ShutdownStarted{})
		}
		d.resign()
		over = d.shutDown()
	}
	for {
		select {
		case <-hup:
			d.reload()
		case <-looks.C:
			d.divide(time.Since(begun))
			d.weigh(time.Since(begun))
			if !d.report() {
				end("the supervisor is gone, and with it who would start this node again", "supervisor_gone")
			}
		case <-usr:
			d.tally()
		case <-d.leave:
			end("the node goes out by agreement of the fleet", "rollout_leaves")
		case <-replaced: // connections that are open go on for the grace, new ones are the successor's
			if d.parent.Listener != nil {
				d.front.StopAccepting()
			}
			end("another process has this node's place", "replaced")
		case <-term:
			end("the node ends", "stopping")
		case <-over:
			close(stop)
			<-ended
			d.tally()
			return nil
		}
	}
}

// assemble makes the node's parts and opens its listener.
func assemble(cfg *config.Config, file string, parent *handover.Parent, term <-chan os.Signal) (*daemon, error) {
	op := cfg.Operator
	level, _ := logs.Level(op.Log.Level) // checked as it was read
	log := logs.New(os.Stderr, logs.Options{Level: level, Format: op.Log.Format})
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	// The collector keeps well under the limit on memory, past which the node is killed.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 6 / 10)

	classes := make([]string, len(cfg.Policy.Classes))
	for i, c := range cfg.Policy.Classes {
		classes[i] = c.Name
	}
	tenants := make([]string, len(cfg.Policy.Tenants))
	for i, t := range cfg.Policy.Tenants {
		tenants[i] = t.Name
	}
	ends := make([]string, upstream.NumOutcomes())
	for i := range ends {
		ends[i] = upstream.Outcome(i).String()
	}
	count := counters.New(classes, request.ResponseKinds(), ends)

	// Descriptors: a part is for discovery, the log and the runtime, the rest is divided, and divided anew by need.
	sockets := float64(cfg.Sockets - 32)
	start := [admission.NumSides]int{admission.Clients: int(sockets * op.Listener.Share),
		admission.CacheServers: int(sockets * op.Pools.TargetShare), admission.Origin: max(1, int(sockets*op.Pools.OriginShare))}
	split := admission.DescriptorSplitPolicy{Start: start, Step: max(1, cfg.Sockets/48), Hold: 2 * time.Second, Fade: 5 * time.Second}
	for i, n := range start {
		split.Floor[i] = max(1, n*2/5)
	}
	targets, origins := upstream.NewDescriptorBudget(start[admission.CacheServers]), upstream.NewDescriptorBudget(start[admission.Origin])
	limits := upstream.Limits{ConnectTimeout: cfg.Node.ConnectTimeout, IdleTimeout: cfg.Node.ConnectionIdle * 8 / 10,
		MaxStreams: cfg.Node.MaxStreams, MaxConnections: op.Pools.Connections, MaxQueued: op.Pools.Waiting}
	if cfg.Policy.HandshakeCost > 0 {
		limits.PipelineWithin = sharedFor
	}
	originLimits := limits
	originLimits.MaxStreams, originLimits.MaxConnections = 1, cfg.Sockets // the budget bounds them

	socket, err := openPeers(cfg, log, parent.Listener != nil, term)
	if errors.Is(err, errStopped) {
		return nil, err
	}
	if err != nil { // messages are a help and no need: better a node that judges alone than none
		logs.Component(log, "peers").Error("the node tells the others nothing and hears nothing", logs.Event, "peers_unavailable",
			"error", err.Error())
	}
	module := cfg.Policy
	var tell func([]byte) error
	if module.MayGossip = socket != nil; module.MayGossip {
		tell = socket.Broadcast
	}
	var duties *dutyAgent.Agent
	spread := func(duty policy.Role) {
		if duties != nil {
			duties.Announce(policy.RoleNames[duty])
		}
	}
	long := upstream.NewResponseMemory(cfg.MemoryMB<<20/longShare, max(leastValue, cfg.MemoryMB<<20/valueShare))
	n, err := node.New(node.Options{Gossip: tell, Announce: spread, Policy: module, Seed: cfg.Seed, MaxOpenRequests: cfg.Node.MaxOpenRequests, MaxRequestBytes: cfg.MemoryMB << 20 / heldShare, MaxClientTimeout: cfg.Node.MaxDeadline,
		InitialList: cfg.InitialList, Source: source(cfg), Counters: count, Log: logs.Component(log, "node"),
		NewUpstream: func(s discovery.Server, isOrigin bool, report func(*upstream.Attempt, upstream.Response)) node.Upstream {
			if isOrigin {
				return upstream.NewPool(s.Addr, origin.Codec{Host: s.Addr, Memory: long}, originLimits,
					origins, report, func() { count.OriginConnections.Add(1) })
			}
			return upstream.NewPool(s.Addr, resp.Codec{Memory: long}, limits, targets, report, func() { count.UpstreamConnections.Add(1) })
		}})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	leave := make(chan struct{}, 1)
	var agreement *agent.Agent
	if socket != nil && op.Rollout.NodesOut > 0 {
		if agreement, err = newAgent(cfg, socket, count, leave, logs.Component(log, "rollout")); err != nil {
			return nil, fmt.Errorf("rollout: %w", err)
		}
	} else if op.Rollout.NodesOut > 0 {
		logs.Component(log, "rollout").Warn("nodes may not send each other messages here: each goes when it is told", logs.Event, "rollout_off")
	}
	if socket != nil && len(op.Leases.Hold) > 0 {
		if duties, err = newDuties(cfg, socket, n, count, logs.Component(log, "duties")); err != nil {
			return nil, fmt.Errorf("duties: %w", err)
		}
	} else if len(op.Leases.Hold) > 0 {
		logs.Component(log, "duties").Warn("nodes may not send each other messages here: each does for itself", logs.Event, "duties_off")
	}
	var members *memberAgent.Agent
	if socket != nil && op.Membership.On {
		if members, err = newMembers(cfg, socket, n, count, logs.Component(log, "members")); err != nil {
			return nil, fmt.Errorf("members: %w", err)
		}
	} else if op.Membership.On {
		logs.Component(log, "members").Warn("nodes may not send each other messages here: nobody looks who is there", logs.Event, "members_off")
	}
	if socket != nil {
		heard := func(from int, data []byte) {
			switch {
			case agreement != nil && len(data) > 0 && data[0] == rollout.Magic:
				agreement.Receive(from, data)
			case duties != nil && len(data) > 0 && data[0] == lease.Magic:
				duties.Receive(from, data)
			case members != nil && len(data) > 0 && data[0] == membership.Magic:
				members.Receive(from, data)
			default:
				n.ReceiveGossip(from, data)
			}
		}
		go listenToPeers(socket, heard, count, logs.Component(log, "peers"))
	}
	ln := parent.Listener
	if ln == nil {
		ln, err = bind(log, cfg.Listen, term, func() (net.Listener, error) { return net.Listen("tcp", cfg.Listen) })
	} else if _, port, _ := net.SplitHostPort(cfg.Listen); strconv.Itoa(ln.Addr().(*net.TCPAddr).Port) != port {
		err = fmt.Errorf("%s is configured, and the inherited socket is at %s", cfg.Listen, ln.Addr())
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	front := listener.New(ln, n, classes, tenants, listener.Limits{MaxConnections: start[admission.Clients],
		MaxPipelined: min(op.Listener.Pipelined, max(leastPipelined, cfg.MemoryMB/pipelinedMB)), MaxValue: 64 << 10, WriteTimeout: op.Listener.Write.D(), FirstCommandTimeout: op.Listener.Silent.D(),
		CrowdedIdleTimeout: op.Listener.IdleCrowded.D(), IdleTimeout: op.Listener.Idle.D(), MaxUnsentBytes: cfg.MemoryMB << 20 / 6}, count)
	return &daemon{agent: agreement, duties: duties, members: members, socket: socket, parent: parent, leave: leave, memory: admission.MemoryPressure{Limit: int64(cfg.MemoryMB) << 20}, cfg: cfg, file: file, log: logs.Component(log, "daemon"), count: count, node: n, front: front,
		split: admission.NewDescriptorSplit(split), targets: targets, origins: origins}, nil
}

// source is discovery, or the agent on this machine that lists are pushed to.
func source(cfg *config.Config) *discovery.Client {
	c := &discovery.Client{Addr: cfg.Discovery}
	if !cfg.Policy.MustPoll {
		c.CallTimeout = discovery.AgentCallTimeout
	}
	return c
}

// openPeers opens the socket to the other nodes, where the deployment allows messages and says where they go.
//
// Beside a process that this one replaces the address is not free yet: it is taken once that one lets go of it.
func openPeers(cfg *config.Config, log *slog.Logger, replaces bool, term <-chan os.Signal) (*peers.Socket, error) {
	if !cfg.MayGossip() {
		return nil, nil
	}
	if replaces {
		return peers.OpenLater(cfg.Peers)
	}
	return bind(log, cfg.Peers.Listen, term, func() (*peers.Socket, error) { return peers.Open(cfg.Peers) })
}

// A node that was killed outright is started again at once, under its address, and the one before may not have let go of
// it yet: a start waits for so long, well within the 30 s after which clients come.
const (
	bindFor   = 5 * time.Second
	bindEvery = 50 * time.Millisecond
)

// errStopped says that the node was told to end before it was up.
var errStopped = errors.New("told to end")

// bind opens an address that another process may still hold.
func bind[T any](log *slog.Logger, addr string, term <-chan os.Signal, open func() (T, error)) (T, error) {
	told := false
	for end := time.Now().Add(bindFor); ; {
		v, err := open()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return v, err
		}
		if !told {
			told = true
			logs.Component(log, "daemon").Warn("the address is taken; waiting for it", logs.Event, "address_taken", "address", addr)
		}
		select {
		case <-term:
			return v, errStopped
		case <-time.After(bindEvery):
		}
	}
}

// newAgent makes this node's part in the agreement on who may go out.
func newAgent(cfg *config.Config, socket *peers.Socket, count *counters.Counters, leave chan struct{}, log *slog.Logger) (*agent.Agent, error) {
	counts := make([]*atomic.Int64, rollout.LogEventKinds)
	for kind := range rollout.LogEventKinds {
		counts[kind] = count.Register("rollout_" + kind.String())
	}
	r := cfg.Operator.Rollout
	core := r.CoreConfig(cfg.Peers.Self(), len(cfg.Peers.Peers), cfg.Policy.Zone, uint64(time.Now().UnixMilli()), cfg.Seed)
	return agent.New(agent.Options{Config: core, Send: socket.SendTo, Log: log,
		DrainGranted: func() { leave <- struct{}{} },
		ResponseCounts: func() rollout.ResponseCounts {
			answers, failed := count.Total(int(request.Failed))
			return rollout.ResponseCounts{Responses: answers, Failed: failed, Slow: int(count.ServedLate.Load())}
		},
		CountEvent: func(kind rollout.LogEventKind) { counts[kind].Add(1) }})
}

// newDuties makes this node's part in the agreement on duties.
func newDuties(cfg *config.Config, socket *peers.Socket, n *node.Node, count *counters.Counters, log *slog.Logger) (*dutyAgent.Agent, error) {
	counts := make([]*atomic.Int64, lease.LogEventKinds)
	for kind := range lease.LogEventKinds {
		counts[kind] = count.Register("duty_" + kind.String())
	}
	number := func(name string) policy.Role { return policy.Role(slices.Index(policy.RoleNames[:], name)) }
	core := cfg.Operator.Leases.CoreConfig(cfg.Peers.Self(), len(cfg.Peers.Peers), uint64(time.Now().UnixMilli()), cfg.Seed)
	return dutyAgent.New(dutyAgent.Options{Config: core, Send: socket.SendTo, Log: log,
		HolderChanged: func(duty string, node int) {
			who := policy.AssignedElsewhere
			switch node {
			case lease.NoNode:
				who = policy.Unassigned
			case lease.ThisNode:
				who = policy.AssignedHere
			}
			n.NotifyRole(policy.RoleAssigned{Role: number(duty), Responsibility: who})
		},
		Announced:  func(duty string) { n.NotifyRole(policy.RoleAnnouncement{Role: number(duty)}) },
		CountEvent: func(kind lease.LogEventKind) { counts[kind].Add(1) }})
}

// newMembers makes this node's part in who is there.
func newMembers(cfg *config.Config, socket *peers.Socket, n *node.Node, count *counters.Counters, log *slog.Logger) (*memberAgent.Agent, error) {
	counts := make([]*atomic.Int64, memberAgent.EventKinds)
	for note := range memberAgent.EventKinds {
		counts[note] = count.Register("member_" + note.String())
	}
	core := cfg.Operator.Membership.CoreConfig(cfg.Peers.Self(), len(cfg.Peers.Peers), cfg.Operator.Leases.PeerListID(len(cfg.Peers.Peers)), uint64(time.Now().UnixMilli()), cfg.Seed)
	return memberAgent.New(memberAgent.Options{Config: core, Send: socket.SendTo, SetFleetSize: n.SetFleetSize, Log: log,
		CountEvent: func(note memberAgent.EventKind) { counts[note].Add(1) }})
}

// resign gives the duties of this node to the others at once, and tells them that it ends.
func (d *daemon) resign() {
	if d.duties != nil {
		d.duties.Resign()
	}
	if d.members != nil {
		d.members.Shutdown()
	}
	if d.parent.Listener != nil && d.socket != nil { // a successor waits for the address of the datagrams
		go func() {
			// What was posted before is out once each has taken one thing more.
			if d.agent != nil {
				d.agent.Call(func() {})
			}
			if d.duties != nil {
				d.duties.Call(func() {})
			}
			if d.members != nil {
				d.members.Call(func() {})
			}
			d.socket.Close()
		}()
	}
}

// report tells a supervisor how it goes, and whether it is still there.
func (d *daemon) report() bool {
	if !d.parent.IsSupervised() {
		return true
	}
	answers, failed := d.count.Total(int(request.Failed))
	err := d.parent.ReportResponses(answers-d.told.Responses, failed-d.told.Failed)
	d.told = rollout.ResponseCounts{Responses: answers, Failed: failed}
	return err == nil
}

// serveControl takes operators' calls at an address, beside the loop of run, which owns d.cfg. Without it the node serves on,
// as operators have signals too.
func (d *daemon) serveControl(addr string, stop <-chan struct{}) {
	s := control.New(addr)
	s.HandleQuery("explain", func(q url.Values) (any, error) {
		why, ok := d.node.Explain(q.Get("key"))
		if !ok {
			return nil, control.ErrBusy
		}
		return why, nil
	})
	if d.agent != nil {
		d.agent.RegisterCalls(s)
	}
	if d.duties != nil {
		d.duties.RegisterCalls(s)
	}
	if d.members != nil {
		d.members.RegisterCalls(s)
	}
	err := s.Serve(stop)
	for told := false; errors.Is(err, control.ErrInUse); err = s.Serve(stop) {
		if !told {
			told = true
			d.log.Warn("operators' calls go to another process; waiting for its end", logs.Event, "control_taken", "error", err.Error())
		}
		select {
		case <-stop:
			return
		case <-time.After(bindEvery):
		}
	}
	if err != nil {
		d.log.Error("operators' calls are not taken", logs.Event, "control_failed", "error", err.Error())
	}
}

func listenToPeers(socket *peers.Socket, heard func(int, []byte), count *counters.Counters, log *slog.Logger) {
	var once sync.Once
	err := socket.Receive(heard, func(from netip.AddrPort) {
		count.GossipForeign.Add(1)
		once.Do(func() {
			log.Warn("a datagram came that no node of this tier sent", logs.Event, "peer_foreign", "from", from.String())
		})
	})
	if errors.Is(err, net.ErrClosed) {
		return // by this node, as it ends
	}
	log.Error("other nodes are no longer heard", logs.Event, "peers_ended", "error", err.Error())
}

// look is how often descriptors are divided anew.
const look = 250 * time.Millisecond

// A connection may have a command out for every two MB of memory, at most as many as the operator says: each may hold
// 64 KiB of a value or an answer, and there are dozens of connections.
const (
	pipelinedMB    = 2
	leastPipelined = 8
)

// Values are 64 KiB at most by the protocol's page, and 400 KB on days that were played. A node takes one of a
// thirty-second of its memory, so that one which is said to be of 3 GB is none, and has an eighth for long ones on their
// way in.
const (
	valueShare = 32
	longShare  = 8
	leastValue = 64 << 10
)

// heldShare is one over the part of the memory that requests may hold until they are answered. Answers on their way to
// clients may hold a sixth.
const heldShare = 4

// weigh tells the node how near the whole program is to its limit on memory.
func (d *daemon) weigh(now time.Duration) {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	level := d.memory.Observe(now, int64(samples[0].Value.Uint64()-samples[1].Value.Uint64()))
	if level == d.pressure {
		return
	}
	if d.pressure == 0 {
		d.log.Warn("memory is short: work of the lowest worth is refused", logs.Event, "memory_short", "limit_mb", d.cfg.MemoryMB)
	}
	d.pressure = level
	d.node.SetMemoryPressure(level)
}

// divide moves descriptors to where they are needed.
func (d *daemon) divide(now time.Duration) {
	var uses [admission.NumSides]admission.SideUsage
	for side, use := range map[admission.Side]func() (int, int64){admission.Clients: d.front.Usage,
		admission.CacheServers: d.targets.Usage, admission.Origin: d.origins.Usage} {
		uses[side].InUse, uses[side].Exhausted = use()
	}
	if d.split.Rebalance(now, uses) {
		l := d.split.Limits()
		d.count.DescriptorRebalances.Add(1)
		d.front.SetMaxConnections(l[admission.Clients])
		d.targets.Resize(l[admission.CacheServers])
		d.origins.Resize(l[admission.Origin])
		d.log.Debug("descriptors are divided anew", logs.Event, "descriptors_moved", "clients", l[admission.Clients],
			"targets", l[admission.CacheServers], "origin", l[admission.Origin])
	}
}

func catch(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// tally writes the counters to the log, as one line.
func (d *daemon) tally() {
	attrs := []slog.Attr{slog.String(logs.Event, "counters")}
	d.count.Each(func(name string, n int64) { attrs = append(attrs, slog.Int64(name, n)) })
	d.log.LogAttrs(context.Background(), slog.LevelInfo, "what came in, was sent and was answered", attrs...)
}

// reload takes over what a new configuration changes. Only discovery can move while the node runs; a configuration
// with an error changes nothing.
func (d *daemon) reload() {
	cfg, err := config.Load(os.Getenv, d.file)
	if err != nil {
		d.count.ReloadsFailed.Add(1)
		d.log.Error("reload: the running configuration stays", logs.Event, "reload_refused", "error", err.Error())
		return
	}
	d.count.Reloads.Add(1)
	for _, field := range d.cfg.ChangedFixedFields(cfg) {
		d.log.Warn("reload: a field changed that takes effect at the next start", logs.Event, "reload_waits", "field", field)
	}
	if r := cfg.Operator.Rollout; d.agent != nil && r != d.cfg.Operator.Rollout {
		d.log.Info("reload: the budget changes", logs.Event, "rollout_budget", "nodes_out", r.NodesOut, "zone_out", r.ZoneOut)
		d.agent.Post(rollout.BudgetChanged{Nodes: r.NodesOut, Zone: r.ZoneOut})
		kept, op := *d.cfg, *d.cfg.Operator
		op.Rollout = r
		kept.Operator = &op
		d.cfg = &kept
	}
	d.movePeers(cfg)
	if d.cfg.Discovery != cfg.Discovery {
		d.log.Info("reload: discovery moves", logs.Event, "discovery_moved", "from", d.cfg.Discovery, "to", cfg.Discovery)
		d.node.FollowDiscovery(source(cfg))
		kept := *d.cfg
		kept.Discovery = cfg.Discovery
		d.cfg = &kept
	}
}

// movePeers takes over another list of peers, where that is safe: duties are handed on between majorities of the list
// before and the list after, so these may differ by one node.
func (d *daemon) movePeers(cfg *config.Config) {
	changed := d.cfg.Peers.CountChanges(cfg.Peers)
	if changed == 0 && d.cfg.Operator.Leases.List == cfg.Operator.Leases.List || d.socket == nil {
		return
	}
	refused := ""
	switch {
	case d.agent != nil:
		refused = "an agreement on who is out runs among the nodes of the start"
	case d.duties != nil && changed > 1:
		refused = "more than one node was added or taken away"
	case (d.duties != nil || d.members != nil) && cfg.Peers.Self() < 0:
		refused = "this node is not among them"
	}
	if refused == "" {
		if err := d.socket.UpdatePeers(cfg.Peers); err != nil {
			refused = err.Error()
		}
	}
	if refused != "" {
		d.log.Warn("reload: the nodes stay those of before", logs.Event, "reload_waits", "field", "peers", "reason", refused)
		return
	}
	d.log.Info("reload: the list of peers changes", logs.Event, "peers_moved", "nodes", len(cfg.Peers.Peers), "changed", changed)
	self, nodes := cfg.Peers.Self(), len(cfg.Peers.Peers)
	list := cfg.Operator.Leases.PeerListID(nodes)
	if d.duties != nil {
		d.duties.UpdatePeers(lease.PeersChanged{Self: self, Nodes: nodes, PeerListID: list})
	}
	if d.members != nil {
		d.members.UpdatePeers(membership.PeersChanged{Self: self, Nodes: nodes, PeerListID: list})
	}
	kept, op := *d.cfg, *d.cfg.Operator
	kept.Peers, op.Leases.List = cfg.Peers, cfg.Operator.Leases.List
	kept.Operator = &op
	d.cfg = &kept
}

// shutDown ends the service after a moment of grace, as clients go on for a moment after SIGTERM. The channel is
// closed when all that is owed is answered, or when there is no more time for it.
func (d *daemon) shutDown() <-chan struct{} {
	over := make(chan struct{})
	grace, end := d.cfg.ShutdownTimes()
	last := time.Now().Add(end)
	go func() {
		defer close(over)
		time.Sleep(grace)
		d.front.Close()
		answered := make(chan struct{})
		go func() {
			<-d.node.Drain(last)
			d.front.Wait()
			close(answered)
		}()
		select {
		case <-answered:
		case <-time.After(time.Until(last) + unsent):
		}
	}()
	return over
}
