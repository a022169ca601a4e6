package demo

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/nodes"
	"shelfproxy/internal/testbed/scenario"
)

// frontNoticeDelay is the time after which the emulated front end notices that a node drains, and stops sending clients to it.
const frontNoticeDelay = 300 * time.Millisecond

// instance is a node of the run. A restart replaces its process.
type instance struct {
	emulator.NodeConfig
	isInUse atomic.Bool // the front end connects clients to the instance

	mu      sync.Mutex
	process *nodes.Process

	// Only the goroutine that restarts the instances, or runs the rollout, uses the fields below while this goroutine runs. Other
	// goroutines read the fields after this goroutine has ended.
	earlierCPU    time.Duration // processor time of the processes before the current one
	drainingSince time.Time     // when the instance began to drain for the rollout; zero while it does not drain
}

// currentProcess returns the current process of the instance. It returns nil before the first start.
func (in *instance) currentProcess() *nodes.Process {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.process
}

// start starts a process, waits until the process answers and puts the instance in use. limits.Sockets limits the descriptors of
// the process, and limits.CPUShare the fraction of a processor that it may use. 0 means no limit.
func (in *instance) start(ctx context.Context, program string, args []string, limits scenario.Nodes) error {
	process, err := nodes.Start(nodes.Command{Program: program, Args: args, Name: in.Name, Listen: in.Listen, Config: in.Path,
		Sockets: limits.Sockets})
	if err != nil {
		return err
	}
	if limits.CPUShare > 0 {
		process.Throttle(limits.CPUShare)
	}
	in.mu.Lock()
	in.process = process
	in.mu.Unlock()
	if err := process.WaitReady(ctx); err != nil {
		return err
	}
	in.isInUse.Store(true)
	return nil
}

// usage returns the processor time of all processes that the instance has had, and the memory and descriptors of its current
// process.
func (in *instance) usage() nodes.Usage {
	usage := in.currentProcess().Usage()
	usage.CPU += in.earlierCPU
	return usage
}

// restartNodes restarts every node Options.Restarts times, one node after another. The restarts are spread evenly over the load.
// If the load ends early, restartNodes returns.
func (r *run) restartNodes(ctx context.Context, loadEnded <-chan struct{}) error {
	interval := r.options.Plan.Length / time.Duration(r.options.Restarts*len(r.instances)+1)
	for range r.options.Restarts {
		for _, instance := range r.instances {
			select {
			case <-time.After(interval):
			case <-loadEnded:
				return nil
			}
			if err := r.restart(ctx, instance); err != nil {
				return err
			}
		}
	}
	return nil
}

// restart ends the process of an instance by SIGTERM, as an operator does, and starts the next process. The front end stops
// sending clients to the instance frontNoticeDelay after the signal.
func (r *run) restart(ctx context.Context, in *instance) error {
	process := in.currentProcess()
	_ = process.Signal(syscall.SIGTERM) // fails only if the process has ended, which Stop reports
	time.Sleep(frontNoticeDelay)
	in.isInUse.Store(false)
	in.earlierCPU += process.Usage().CPU
	timeout := stopTimeout
	if r.options.KillAfter > 0 {
		timeout = r.options.KillAfter - frontNoticeDelay
	}
	if err := process.Stop(timeout); err != nil { // sends SIGTERM once more
		return err
	}
	return r.startNext(ctx, in, r.options.NodeArgs)
}

// startNext starts the next process of an instance whose last process has ended.
func (r *run) startNext(ctx context.Context, in *instance, args []string) error {
	r.emulator.Report(func(_ time.Duration, check *invariants.Checker) { check.NodeRestarted(in.Number) })
	if err := r.emulator.WriteConfig(in.NodeConfig); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return in.start(ctx, r.program, args, r.options.Plan.Nodes)
}
