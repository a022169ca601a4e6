// Package demo runs a whole scenario: an emulated system, real nodes as child processes, a light load and a summary at the end.
// However a run ends, it stops every process that it started and closes every socket that it opened.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"shelfproxy/internal/testbed/clients"
	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/faultproxy"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/nodes"
	"shelfproxy/internal/testbed/scenario"
)

// Options says which plan is run and how.
type Options struct {
	Plan     *scenario.Plan
	Program  string // path of the node's program; if empty, the program is found or built
	Dir      string // existing directory for configurations and logs
	Log      *slog.Logger
	Out      io.Writer     // receives the progress
	Live     bool          // redraw a table in place instead of writing lines; Out must be a terminal
	Every    time.Duration // interval between two reports of the progress
	Restarts int           // number of times that each node is restarted during the load
	// KillAfter is how long after SIGTERM a node that has not ended is killed in a restart; 0 is stopTimeout. Clients keep using their
	// connections until then.
	KillAfter time.Duration
	NodeArgs  []string
	Rollout   *Rollout // if set, another release is rolled out to the nodes during the load
	// Disturb, if set, runs concurrently with the load and may disturb nodes. Its argument running returns the current processes
	// of the nodes that are in use. Disturb must return when the context ends.
	Disturb func(ctx context.Context, running func() []*nodes.Process)
}

// NodeResult holds the resources that the processes of a node used.
type NodeResult struct {
	Name, Zone string
	nodes.Usage
}

// Result holds the results of a run.
type Result struct {
	Plan        *scenario.Plan
	Interrupted bool // the context ended before the run was complete
	Classes     []clients.Class
	Generator   clients.Generator
	Summary     emulator.Summary
	Nodes       []NodeResult
	Elapsed     time.Duration
	Failures    []error // failures to start or stop nodes, to roll out, or to answer requests
	Rollout     *RolloutResult
}

// IsClean reports whether no invariant was violated and no node failed.
func (r *Result) IsClean() bool { return len(r.Summary.Violations) == 0 && len(r.Failures) == 0 }

const (
	startTimeout = 20 * time.Second // time in which nodes must answer after their start
	stopTimeout  = 15 * time.Second // time in which a node must exit after SIGTERM
)

// run is the state of one run of a scenario.
type run struct {
	options    Options
	began      time.Time
	program    string
	emulator   *emulator.Emulator
	faultProxy *faultproxy.Proxy // carries the datagrams between the nodes in a rollout; nil without a rollout
	instances  []*instance
	rollout    *rollout // nil without a rollout
}

// Run runs a plan. If the context ends during the load, Run stops early and returns the result so far.
func Run(ctx context.Context, options Options) (*Result, error) {
	r := &run{options: options, began: time.Now(), program: options.Program}
	defer r.close()
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	if err := r.startNodes(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	load := clients.New(options.Plan, clients.Options{Nodes: r.clientNodes(), Observer: observer{r.emulator}, KeepsConnections: r.options.KillAfter > 0})
	failures := r.playLoad(ctx, load)
	return r.finish(ctx, load, failures), nil
}

// prepare finds the program, opens the sockets of the emulated system and writes the nodes' configurations.
func (r *run) prepare(ctx context.Context) (err error) {
	if r.program == "" {
		if r.program, err = nodes.FindProgram(ctx, r.options.Dir); err != nil {
			return err
		}
	}
	emulatorOptions := emulator.Options{Log: r.options.Log}
	if rollout := r.options.Rollout; rollout != nil {
		if r.faultProxy, err = faultproxy.New(len(r.options.Plan.Spec.Nodes), rollout.Faults, r.options.Plan.Seed); err != nil {
			return err
		}
		emulatorOptions.Peers = r.faultProxy.Addresses
	}
	if r.emulator, err = emulator.New(r.options.Plan, emulatorOptions); err != nil {
		return err
	}
	if err := r.emulator.Start(); err != nil {
		return err
	}
	configs, err := r.emulator.WriteConfigs(r.options.Dir)
	if err != nil {
		return err
	}
	for _, config := range configs {
		r.instances = append(r.instances, &instance{NodeConfig: config})
	}
	if r.options.Rollout != nil {
		r.rollout = newRollout(r)
	}
	return nil
}

// close stops and closes everything that prepare and startNodes started, also after an error.
func (r *run) close() {
	for _, instance := range r.instances {
		if process := instance.currentProcess(); process != nil {
			_ = process.Stop(stopTimeout) // the error is ignored: finish has already reported nodes that do not stop
		}
	}
	if r.emulator != nil {
		r.emulator.Close()
	}
	if r.faultProxy != nil {
		r.faultProxy.Close()
	}
}

// startNodes starts all nodes concurrently and waits until they answer.
func (r *run) startNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	starting, ctx := errgroup.WithContext(ctx)
	for i, instance := range r.instances {
		starting.Go(func() error {
			args := r.options.NodeArgs
			if r.rollout != nil {
				var err error
				if args, err = r.rollout.nodeArgs(i, releaseBefore); err != nil {
					return err
				}
			}
			return instance.start(ctx, r.program, args, r.options.Plan.Nodes)
		})
	}
	return starting.Wait()
}

// clientNodes returns the nodes as clients see them.
func (r *run) clientNodes() []clients.Node {
	var clientNodes []clients.Node
	for _, instance := range r.instances {
		clientNodes = append(clientNodes, clients.Node{Address: instance.Listen, InUse: instance.isInUse.Load,
			Process: func() func() bool { return instance.currentProcess().IsStopping }})
	}
	return clientNodes
}

// playLoad runs the load. Concurrently, it shows the progress and runs the restarts, the rollout and Options.Disturb. It waits for
// all of them.
func (r *run) playLoad(ctx context.Context, load *clients.Clients) (failures []error) {
	loadEnded := make(chan struct{}) // closed when load.Run has returned
	var background sync.WaitGroup
	background.Go(func() { r.showProgress(load, loadEnded) })
	var restartErr, rolloutErr error
	if r.options.Restarts > 0 {
		background.Go(func() { restartErr = r.restartNodes(ctx, loadEnded) })
	}
	if r.rollout != nil {
		background.Go(func() { rolloutErr = r.rollout.rollOut(ctx, loadEnded) })
	}
	disturbCtx, endDisturb := context.WithCancel(ctx)
	defer endDisturb()
	if r.options.Disturb != nil {
		background.Go(func() { r.options.Disturb(disturbCtx, r.runningProcesses) })
	}
	load.Run(ctx)
	endDisturb()
	close(loadEnded)
	background.Wait()
	for _, err := range []error{restartErr, rolloutErr} {
		if err != nil {
			failures = append(failures, err)
		}
	}
	return failures
}

// runningProcesses returns the current process of each instance to which the front end connects clients.
func (r *run) runningProcesses() (processes []*nodes.Process) {
	for _, instance := range r.instances {
		if instance.isInUse.Load() {
			processes = append(processes, instance.currentProcess())
		}
	}
	return processes
}

// finish stops the nodes and collects the result.
func (r *run) finish(ctx context.Context, load *clients.Clients, failures []error) *Result {
	result := &Result{Plan: r.options.Plan, Interrupted: ctx.Err() != nil, Failures: failures}
	for _, instance := range r.instances {
		result.Nodes = append(result.Nodes, NodeResult{instance.Name, instance.Zone, instance.usage()})
	}
	if r.rollout != nil {
		result.Rollout = &r.rollout.result
		result.Rollout.Datagrams, result.Rollout.Bytes = r.faultProxy.Carried()
		if most, budget := result.Rollout.MostOut, r.options.Rollout.Budget; most > budget {
			result.Failures = append(result.Failures, fmt.Errorf("the rollout took %d nodes out of service at the same time, the budget is %d", most, budget))
		}
	}
	result.Failures = append(result.Failures, r.stopNodes()...)
	result.Failures = append(result.Failures, r.checkConnectionEnds()...)
	// A request that was sent at the end of the load and not answered violates an invariant once its deadline has passed. Its
	// client has waited until then, so advancing the checker to the current time finds the violation.
	r.emulator.Do(func(now time.Duration, _ *model.System, check *invariants.Checker) { check.Advance(now) })
	result.Classes, result.Generator = load.Classes(), load.Generator()
	result.Failures = append(result.Failures, checkCrossings(load.Crossed(), result.Classes)...)
	result.Summary = r.emulator.Summary()
	result.Elapsed = time.Since(r.began)
	return result
}

// stopNodes stops all nodes concurrently.
func (r *run) stopNodes() (failures []error) {
	var mu sync.Mutex
	var stopping sync.WaitGroup
	for _, instance := range r.instances {
		stopping.Go(func() {
			instance.isInUse.Store(false)
			if err := instance.currentProcess().Stop(stopTimeout); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, err)
			}
		})
	}
	stopping.Wait()
	return failures
}

// maxRandomSeed bounds the seeds that RandomSeed returns, so that they are short to type.
const maxRandomSeed = 1_000_000

// RandomSeed returns a seed for a run whose user did not choose one.
func RandomSeed() uint64 { return uint64(time.Now().UnixNano()) % maxRandomSeed }

// TempDir makes a temporary directory for a run. The caller must remove it.
func TempDir() (string, error) {
	dir, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return "", fmt.Errorf("make a directory for the run: %w", err)
	}
	return dir, nil
}
