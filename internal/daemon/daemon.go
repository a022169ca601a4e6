// Package daemon runs a node as a process: it creates the node's parts in order, handles the process's signals, reloads the
// configuration, supervises memory and descriptors, serves the operators' control socket, takes part in the fleet's agreements and
// shuts the node down gracefully. docs/operating.md describes what operators see of it.
//
// The goroutine in Run owns the configuration in force and everything else in Daemon that changes after the start. The other
// goroutines, which start names, reach their parts only.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"shelfproxy/internal/config"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/listener"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/node"
	"shelfproxy/internal/supervisor/handover"
)

// Daemon is a node with the process around it.
type Daemon struct {
	cfg          *config.Config // in force; a reload replaces it and never changes the value
	operatorFile string         // path of the operator's file, for reloads; empty: none was named
	rootLog      *slog.Logger
	log          *slog.Logger // of the component "daemon"
	counters     *counters.Counters
	parent       *handover.Parent // the supervisor, if one started this process

	node        *node.Node
	listener    *listener.Listener
	fleet       fleetAgents
	descriptors *descriptors
	memory      memoryMonitor

	drainGranted chan struct{}          // the fleet lets this node drain; sent to once
	lastReport   rollout.ResponseCounts // to the supervisor

	stopNode     chan struct{}   // closed by stop
	nodeEnded    chan struct{}   // closed by the node's goroutine
	agents       sync.WaitGroup  // the goroutines of the fleet's agents
	shutdownOver <-chan struct{} // closed once the shutdown may end; nil until it has begun
}

// Run runs a node until it was shut down. The configuration was loaded with operatorFile, which is read again at each reload. It
// returns nil as well if the process is told to terminate before the node is up, as it has accepted nothing then.
func Run(cfg *config.Config, operatorFile string) error {
	signals := registerSignals() // first of all: a signal that is not registered would end the process
	parent, err := handover.Inherit()
	if err != nil {
		return err
	}
	d, err := assemble(cfg, operatorFile, parent, signals.terminate)
	if errors.Is(err, errTerminated) {
		return nil
	}
	if err != nil {
		return err
	}
	d.start()
	d.handleEvents(signals)
	d.stop()
	return nil
}

// start starts the goroutines of the node's parts and reports that the node is up.
func (d *Daemon) start() {
	go func() { // stop waits for it
		defer close(d.nodeEnded)
		d.node.Run(d.stopNode)
	}()
	go func() { // ends when the shutdown closes the listener
		_ = d.listener.Serve() // the error that it was closed
	}()
	d.fleet.serve(&d.agents, d.nodeEnded)                          // stop waits for them
	go d.serveControl(d.cfg.Operator.Rollout.Control, d.nodeEnded) // ends with the node
	d.log.Info("the node is up", logs.Event, "started", "name", d.cfg.Name, "listen", d.cfg.Listen, "cores", d.cfg.Cores,
		"memory_mb", d.cfg.MemoryMB, "sockets", d.cfg.Sockets)
	_ = d.parent.ReportReady() // a supervisor that is gone is noticed at the next report
	d.reportToSupervisor()     // from the first report on, a node that reports nothing hangs
}

// handleEvents handles signals, the periodic supervision and the fleet's decisions until the node's shutdown is over.
func (d *Daemon) handleEvents(signals signals) {
	started := time.Now()
	supervision := time.NewTicker(supervisionInterval)
	defer supervision.Stop()
	for {
		select {
		case <-signals.reload:
			d.reload()
		case <-supervision.C:
			d.rebalanceDescriptors(time.Since(started))
			d.observeMemory(time.Since(started))
			if !d.reportToSupervisor() {
				d.beginShutdown("the supervisor, which would restart this node, is gone", "supervisor_gone")
			}
		case <-signals.logCounters:
			d.logCounters()
		case <-d.drainGranted:
			d.beginShutdown("the node drains by agreement of the fleet", "rollout_leaves")
		case <-signals.replaced:
			if d.parent.Listener != nil { // new connections are the successor's; open ones go on for the grace period
				d.listener.StopAccepting()
			}
			d.beginShutdown("a successor has replaced this process", "replaced")
		case <-signals.terminate:
			d.beginShutdown("the node shuts down", "stopping")
		case <-d.shutdownOver:
			return
		}
	}
}

// logCounters writes all counters to the log, as one record.
func (d *Daemon) logCounters() {
	attrs := []slog.Attr{slog.String(logs.Event, "counters")}
	d.counters.Each(func(name string, count int64) { attrs = append(attrs, slog.Int64(name, count)) })
	d.log.LogAttrs(context.Background(), slog.LevelInfo, "all counters since the start", attrs...)
}
