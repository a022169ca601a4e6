package daemon

import (
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/config"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/fleet/peers"
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

// assemble creates the node's parts and opens its sockets. The order matters. The policy has to know whether there is a socket to
// the other nodes. The agents need the node. Clients must not be able to connect before all other parts exist.
func assemble(cfg *config.Config, operatorFile string, parent *handover.Parent, terminate <-chan os.Signal) (*Daemon, error) {
	daemon := newDaemon(cfg, operatorFile, parent)
	daemon.limitRuntime()
	daemon.counters = newCounters(cfg)
	daemon.memory = newMemoryMonitor(cfg, daemon.counters)
	daemon.descriptors = newDescriptors(cfg)
	if err := daemon.openPeerSocket(terminate); err != nil {
		return nil, err
	}
	if err := daemon.createNode(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := daemon.createAgents(); err != nil {
		return nil, err
	}
	daemon.receiveDatagrams()
	if err := daemon.openListener(terminate); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return daemon, nil
}

// newDaemon returns a daemon that has its configuration, log and channels, but no parts of the node yet.
func newDaemon(cfg *config.Config, operatorFile string, parent *handover.Parent) *Daemon {
	level, _ := logs.Level(cfg.Operator.Log.Level) // can't fail: the level was validated when the configuration was read
	rootLog := logs.New(os.Stderr, logs.Options{Level: level, Format: cfg.Operator.Log.Format})
	return &Daemon{
		cfg:          cfg,
		operatorFile: operatorFile,
		rootLog:      rootLog,
		log:          logs.Component(rootLog, "daemon"),
		parent:       parent,
		drainGranted: make(chan struct{}, 1),
		stopNode:     make(chan struct{}),
		nodeEnded:    make(chan struct{}),
	}
}

// limitRuntime limits the Go runtime to the processor cores that the node may use, and to a part of the node's memory.
func (d *Daemon) limitRuntime() {
	if d.cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(d.cfg.Cores))))
	}
	debug.SetMemoryLimit(collectorLimit(d.cfg))
}

// newCounters returns counters for the configured classes of requests, all kinds of responses and all outcomes of attempts.
func newCounters(cfg *config.Config) *counters.Counters {
	outcomes := make([]string, upstream.NumOutcomes())
	for i := range outcomes {
		outcomes[i] = upstream.Outcome(i).String()
	}
	return counters.New(classNames(cfg), request.ResponseKinds(), outcomes)
}

func classNames(cfg *config.Config) []string {
	names := make([]string, len(cfg.Policy.Classes))
	for i, class := range cfg.Policy.Classes {
		names[i] = class.Name
	}
	return names
}

func tenantNames(cfg *config.Config) []string {
	names := make([]string, len(cfg.Policy.Tenants))
	for i, tenant := range cfg.Policy.Tenants {
		names[i] = tenant.Name
	}
	return names
}

// openPeerSocket opens the socket to the other nodes if the deployment allows messages and names their addresses. Without the socket
// the node still serves, but decides by its own observations alone. The only error that openPeerSocket returns is errTerminated.
func (d *Daemon) openPeerSocket(terminate <-chan os.Signal) error {
	if !d.cfg.MayGossip() {
		return nil
	}
	socket, err := d.bindPeerSocket(terminate)
	if errors.Is(err, errTerminated) {
		return err
	}
	if err != nil {
		logs.Component(d.rootLog, "peers").Error("failed to open the socket to other nodes: no messages are exchanged with them",
			logs.Event, "peers_unavailable", "error", err.Error())
	}
	d.fleet.socket = socket
	return nil
}

// bindPeerSocket opens the socket to the other nodes. If this process replaces a predecessor, which still uses the address, the
// socket is opened later, when the predecessor releases the address.
func (d *Daemon) bindPeerSocket(terminate <-chan os.Signal) (*peers.Socket, error) {
	if d.parent.Listener != nil {
		return peers.OpenLater(d.cfg.Peers)
	}
	return bind(d, d.cfg.Peers.Listen, terminate, func() (*peers.Socket, error) { return peers.Open(d.cfg.Peers) })
}

// createNode creates the node with its policy and connection pools.
func (d *Daemon) createNode() error {
	settings := d.cfg.Policy
	settings.MayGossip = d.fleet.socket != nil
	var gossip func([]byte) error
	if settings.MayGossip {
		gossip = d.fleet.socket.Broadcast
	}
	created, err := node.New(node.Options{
		Policy:           settings,
		Seed:             d.cfg.Seed,
		MaxOpenRequests:  d.cfg.Node.MaxOpenRequests,
		RequestMemory:    d.memory.budgets.requests,
		ResponseMemory:   d.memory.budgets.responses,
		MaxClientTimeout: d.cfg.Node.MaxDeadline,
		InitialList:      d.cfg.InitialList,
		Source:           discoverySource(d.cfg),
		NewUpstream:      d.upstreamFactory(),
		Gossip:           gossip,
		Announce: func(role policy.Role) { // called only while the node runs, so the lease agent, if any, exists by then
			if d.fleet.leases != nil {
				d.fleet.leases.Announce(policy.RoleNames[role])
			}
		},
		Counters: d.counters,
		Log:      logs.Component(d.rootLog, "node"),
	})
	d.node = created
	d.updateConfig(func(cfg *config.Config) { cfg.InitialList = discovery.List{} }) // the node has taken the list over
	return err
}

// upstreamFactory returns a function that creates the connection pool to a cache server or to the origin. The function is called by
// the node's goroutine, so it must not read d.cfg, which a reload replaces.
func (d *Daemon) upstreamFactory() func(discovery.Server, bool, func(*upstream.Attempt, upstream.Response)) node.Upstream {
	cacheServers := upstream.Budgets{Descriptors: d.descriptors.cacheServers, Responses: d.memory.budgets.responses}
	origins := upstream.Budgets{Descriptors: d.descriptors.origin, Responses: d.memory.budgets.responses}
	toCacheServer, toOrigin, maxValue := cacheServerLimits(d.cfg), originLimits(d.cfg), maxResponse(d.cfg)
	return func(server discovery.Server, isOrigin bool, report func(*upstream.Attempt, upstream.Response)) node.Upstream {
		if isOrigin {
			codec := origin.Codec{Host: server.Addr, MaxValue: maxValue}
			return upstream.NewPool(server.Addr, codec, toOrigin, origins, report,
				func() { d.counters.OriginConnections.Add(1) })
		}
		return upstream.NewPool(server.Addr, resp.Codec{MaxValue: maxValue}, toCacheServer, cacheServers, report,
			func() { d.counters.UpstreamConnections.Add(1) })
	}
}

// discoverySource returns a client for the configured source of endpoint lists: the discovery service itself, or an agent on this
// machine, to which the lists are pushed.
func discoverySource(cfg *config.Config) *discovery.Client {
	client := &discovery.Client{Addr: cfg.Discovery}
	if !cfg.Policy.MustPoll {
		client.CallTimeout = discovery.AgentCallTimeout
	}
	return client
}

// openListener opens the socket for clients. Clients are served only after the listener's goroutine was started.
func (d *Daemon) openListener(terminate <-chan os.Signal) error {
	socket, err := d.listen(terminate)
	if err != nil {
		return err
	}
	maxConnections := d.descriptors.split.Limits()[admission.Clients]
	d.listener = listener.New(socket, d.node, classNames(d.cfg), tenantNames(d.cfg), listenerLimits(d.cfg, maxConnections, d.memory.budgets), d.counters,
		logs.Component(d.rootLog, "listener"))
	return nil
}
