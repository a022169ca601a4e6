// Package daemon runs a node as a process. It creates the node's parts in order, handles signals, reloads the configuration and
// supervises memory and descriptors. It also serves the control socket for operators, takes part in the fleet's agreements and
// shuts the node down gracefully. docs/operating.md describes what operators see of it.
//
// The goroutine that calls Run owns the configuration in force and everything else in Daemon that changes after the start. The
// other goroutines, most of which the method start creates, access only their own parts of the node.
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

// Daemon is a node together with the process that it runs in.
type Daemon struct {
	cfg          *config.Config // configuration in force; a reload replaces the pointer and never changes the Config itself
	operatorFile string         // path of the operator's file, which a reload reads again; empty if there is no file
	rootLog      *slog.Logger
	log          *slog.Logger // log of the component "daemon"
	counters     *counters.Counters
	parent       *handover.Parent // what the supervisor handed over, such as the socket for clients; never nil, but holds nothing without a supervisor

	node        *node.Node
	listener    *listener.Listener
	fleet       fleetAgents
	descriptors *descriptors
	memory      memoryMonitor

	drainGranted chan struct{}          // receives one value when the fleet allows this node to drain
	lastReport   rollout.ResponseCounts // responses counted until the last report to the supervisor

	stopNode     chan struct{}   // closed by the method stop, to end the node
	nodeEnded    chan struct{}   // closed by the node's goroutine when the node has ended
	agents       sync.WaitGroup  // waits for the goroutines of the fleet's agents
	shutdownOver <-chan struct{} // closed when the shutdown is complete; nil while none has begun
}

// Run runs a node until it has shut down. operatorFile is the path of the operator's file from which cfg was loaded; each reload
// reads it again. Run also returns nil if the process is told to terminate before the node is up, because the node has accepted no
// connections by then.
func Run(cfg *config.Config, operatorFile string) error {
	signals := registerSignals() // registered first, because a signal that is not registered would end the process
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
	go func() { // the method stop waits for this goroutine
		defer close(d.nodeEnded)
		d.node.Run(d.stopNode)
	}()
	go func() { // this goroutine ends when the shutdown closes the listener
		_ = d.listener.Serve() // always returns the error that the listener was closed
	}()
	d.fleet.serve(&d.agents, d.nodeEnded)                          // the method stop waits for the agents
	go d.serveControl(d.cfg.Operator.Rollout.Control, d.nodeEnded) // this goroutine ends when the node has ended
	d.log.Info("the node is up", logs.Event, "started", "name", d.cfg.Name, "listen", d.cfg.Listen, "cores", d.cfg.Cores,
		"memory_mb", d.cfg.MemoryMB, "sockets", d.cfg.Sockets)
	_ = d.parent.ReportReady() // an error means that the supervisor has ended, which the next report notices
	d.reportToSupervisor()     // after its first report, a node that sends no reports counts as hung
}

// handleEvents handles signals, the fleet's decisions and the periodic supervision of the node until its shutdown is complete.
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
				d.beginShutdown("shutting down: the supervisor, which would restart this node, has ended", "supervisor_gone")
			}
		case <-signals.logCounters:
			d.logCounters()
		case <-d.drainGranted:
			d.beginShutdown("shutting down: the fleet allows this node to drain", "rollout_leaves")
		case <-signals.replaced:
			if d.parent.Listener != nil { // the successor accepts new connections; open ones are served for the grace period
				d.listener.StopAccepting()
			}
			d.beginShutdown("shutting down: a successor has replaced this process", "replaced")
		case <-signals.terminate:
			d.beginShutdown("shutting down: the process was told to terminate", "stopping")
		case <-d.shutdownOver:
			return
		}
	}
}

// logCounters writes the values of all counters to the log, as one record.
func (d *Daemon) logCounters() {
	attrs := []slog.Attr{slog.String(logs.Event, "counters")}
	d.counters.Each(func(name string, count int64) { attrs = append(attrs, slog.Int64(name, count)) })
	d.log.LogAttrs(context.Background(), slog.LevelInfo, "all counters since the start", attrs...)
}
