// Package demo plays a scenario whole: the emulated portal, real nodes as child processes, a light load, and at the
// end a summary. It ends everything that it started, whichever way it ends.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"shelfproxy/internal/testbed/clients"
	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/faultproxy"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/nodes"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/testbed/wireformat"
)

// Options say what is played and how.
type Options struct {
	Plan    *scenario.Plan
	Program string // of the nodes; found or built where it is empty
	Dir     string // for configurations and logs; it must exist
	Log     *slog.Logger
	Out     io.Writer
	Live    bool          // redraw a table in place: Out is a terminal
	Every   time.Duration // between looks at the run
	// Restarts, if above 0, is how often every node is restarted in turn during the load.
	Restarts int
	NodeArgs []string
	Rollout  *Rollout // if set, the fleet goes to another release by its own agreement
}

// watcher tells the rules of the emulator what clients see.
type watcher struct{ em *emulator.Emulator }

func (w watcher) RequestSent(id, class string, node int, wait time.Duration) {
	due := w.em.Now() + wait
	w.em.Tell(func(now time.Duration, check *invariants.Checker) { check.RequestSent(now, id, class, node, due) })
}

func (w watcher) RequestAnswered(id string, kind invariants.Final, value []byte) {
	madeFor := wireformat.RequestOfValue(value)
	w.em.Tell(func(now time.Duration, check *invariants.Checker) { check.RequestAnswered(now, id, kind, madeFor) })
}

func (w watcher) ConnectionEnded(id string, unread bool) {
	w.em.Tell(func(now time.Duration, check *invariants.Checker) { check.ConnectionEnded(now, id, unread) })
}

// NodeResult is what a node used.
type NodeResult struct {
	Name, Zone string
	nodes.Usage
}

// Result is what a run came to.
type Result struct {
	Plan        *scenario.Plan
	Interrupted bool
	Classes     []clients.Class
	Generator   clients.Generator
	Summary     emulator.Summary
	Nodes       []NodeResult
	Took        time.Duration
	Ends        []error // nodes that did not end as they should have
	Rollout     *RolloutResult
}

// IsClean tells whether everything went as it must.
func (r *Result) IsClean() bool { return len(r.Summary.Broken) == 0 && len(r.Ends) == 0 }

// startWithin and stopWithin bound how long nodes may take to come up and to end.
const (
	startWithin = 20 * time.Second
	stopWithin  = 15 * time.Second
)

// place is where a node's process of the moment is; a restart puts another there.
type place struct {
	emulator.NodeConfig
	mu   sync.Mutex
	proc *nodes.Process
	used atomic.Bool
	cpu  time.Duration // of earlier processes

	leaving time.Time // since when it goes out by agreement
}

func (p *place) process() *nodes.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proc
}

// Run plays a plan. When the context ends, it stops early and still sums up.
func Run(ctx context.Context, opt Options) (*Result, error) {
	began := time.Now()
	program := opt.Program
	if program == "" {
		var err error
		if program, err = nodes.Find(ctx, opt.Dir); err != nil {
			return nil, err
		}
	}
	var between *faultproxy.Proxy
	if opt.Rollout != nil {
		var err error
		if between, err = faultproxy.New(len(opt.Plan.Spec.Nodes), opt.Rollout.Faults, opt.Plan.Seed); err != nil {
			return nil, err
		}
		defer between.Close()
	}
	em, err := emulator.New(opt.Plan, emulator.Options{Log: opt.Log, Peers: peersOf(between)})
	if err != nil {
		return nil, err
	}
	defer em.Close()
	if err := em.Start(); err != nil {
		return nil, err
	}
	configs, err := em.WriteConfigs(opt.Dir)
	if err != nil {
		return nil, err
	}
	places := make([]*place, len(configs))
	for i, c := range configs {
		places[i] = &place{NodeConfig: c}
	}
	defer func() { // whatever happened before the orderly end
		for _, p := range places {
			if proc := p.process(); proc != nil {
				proc.Stop(stopWithin)
			}
		}
	}()
	up, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	rolling := newRolling(opt, em, between)
	rolling.places = places
	starting, up := errgroup.WithContext(up)
	for i, p := range places {
		starting.Go(func() error {
			args := opt.NodeArgs
			if opt.Rollout != nil {
				var err error
				if args, err = rolling.args(i, rollFrom); err != nil {
					return err
				}
			}
			return p.start(up, program, args)
		})
	}
	if err := starting.Wait(); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	var front []clients.Node
	for _, p := range places {
		front = append(front, clients.Node{Addr: p.Listen, Process: func() func() bool { return p.process().Stopping }, Used: p.used.Load})
	}
	load := clients.New(opt.Plan, clients.Options{Nodes: front, Observer: watcher{em}})
	var over sync.WaitGroup
	done := make(chan struct{})
	over.Go(func() { watch(opt, em, load, done) })
	var restartErr error
	if opt.Restarts > 0 {
		over.Go(func() { restartErr = restart(ctx, opt, em, places, program, done) })
	}
	if opt.Rollout != nil {
		over.Go(func() { restartErr = rolling.run(ctx, program, done) })
	}
	load.Run(ctx)
	close(done)
	over.Wait()

	r := &Result{Plan: opt.Plan, Interrupted: ctx.Err() != nil}
	if restartErr != nil {
		r.Ends = append(r.Ends, restartErr)
	}
	for _, p := range places {
		u := p.process().Usage()
		u.CPU += p.cpu
		r.Nodes = append(r.Nodes, NodeResult{p.Name, p.Zone, u})
	}
	if opt.Rollout != nil {
		r.Rollout = &rolling.result
		r.Rollout.Datagrams, r.Rollout.Bytes = between.Carried()
		if r.Rollout.Most > opt.Rollout.Budget {
			r.Ends = append(r.Ends, fmt.Errorf("%d nodes were out at once by agreement, %d may be", r.Rollout.Most, opt.Rollout.Budget))
		}
	}
	r.Ends = append(r.Ends, stopAll(places)...)
	// What was taken in the last moment shows by its deadline, when the clients have given up on it.
	em.Do(func(now time.Duration, _ *model.System, check *invariants.Checker) { check.Advance(now) })
	r.Classes, r.Generator = load.Classes(), load.Generator()
	r.Summary = em.Summary()
	r.Took = time.Since(began)
	return r, nil
}

func (p *place) start(ctx context.Context, program string, args []string) error {
	proc, err := nodes.Start(program, p.Name, p.Listen, p.Path, args...)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.proc = proc
	p.mu.Unlock()
	if err := proc.Ready(ctx); err != nil {
		return err
	}
	p.used.Store(true)
	return nil
}

// stopAll ends all nodes at once.
func stopAll(places []*place) (ends []error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range places {
		wg.Go(func() {
			p.used.Store(false)
			if err := p.process().Stop(stopWithin); err != nil {
				mu.Lock()
				ends = append(ends, err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return ends
}

// restart restarts every node in turn, evenly over the load: SIGTERM, a moment later the front no longer hands out
// connections to it, and a new process in its place.
func restart(ctx context.Context, opt Options, em *emulator.Emulator, places []*place, program string, done <-chan struct{}) error {
	gap := opt.Plan.Length / time.Duration(opt.Restarts*len(places)+1)
	for range opt.Restarts {
		for _, p := range places {
			select {
			case <-time.After(gap):
			case <-done:
				return nil
			}
			old := p.process()
			old.Signal(syscallTerm)
			time.Sleep(300 * time.Millisecond)
			p.used.Store(false)
			p.cpu += old.Usage().CPU
			if err := old.Stop(stopWithin); err != nil {
				return err
			}
			em.Tell(func(_ time.Duration, check *invariants.Checker) { check.NodeRestarted(p.Number) })
			if err := em.WriteConfig(p.NodeConfig); err != nil {
				return err
			}
			up, cancel := context.WithTimeout(ctx, startWithin)
			err := p.start(up, program, opt.NodeArgs)
			cancel()
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// Seed is a seed for a run that names none.
func Seed() uint64 { return uint64(time.Now().UnixNano()) % 1_000_000 }

// TempDir makes a folder for a run.
func TempDir() (string, error) {
	dir, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return "", fmt.Errorf("no folder for the run: %w", err)
	}
	return dir, nil
}
