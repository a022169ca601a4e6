// Package seedrunner runs many seeds of a simulation on parallel workers and collects the runs that violated an
// invariant. Each run is deterministic; only the order in which runs are reported depends on the workers.
package seedrunner

import (
	"context"
	"sync"
	"time"

	"shelfproxy/internal/testbed/simulation"
)

// Simulation is one of the two simulations that can run a seed.
type Simulation struct {
	// Run draws the plan of a seed, leaves out the parts whose numbers are in skip, and runs the plan.
	Run func(seed uint64, skip map[int]bool, opt simulation.Options) *simulation.Report
	// Shrink searches for a smaller plan of the seed that still violates the invariant. It returns the numbers of the
	// parts to leave out, and the report of the run without these parts.
	Shrink func(seed uint64, invariant string) (skip map[int]bool, report *simulation.Report)
}

// Requests simulates nodes, cache servers and clients.
var Requests = Simulation{
	Run: func(seed uint64, skip map[int]bool, opt simulation.Options) *simulation.Report {
		return simulation.Run(simulation.Draw(seed, skip), opt)
	},
	Shrink: simulation.Shrink,
}

// Agreements simulates a fleet of nodes that agree on leases, rollouts and membership. The fleet serves no requests.
var Agreements = Simulation{
	Run: func(seed uint64, skip map[int]bool, opt simulation.Options) *simulation.Report {
		return simulation.RunFleet(simulation.DrawFleet(seed, skip), opt)
	},
	Shrink: simulation.ShrinkFleet,
}

// Options select the seeds and how they are run.
type Options struct {
	First   uint64 // the first seed to run
	Count   uint64 // number of seeds, from First on
	Workers int    // number of seeds that run in parallel; values below 1 count as 1
	// StopAtViolation makes Run start no further seed once a run has violated an invariant.
	StopAtViolation bool
	// OnReport, if set, is called after every run, with the summary so far. Calls do not overlap.
	OnReport func(report *simulation.Report, sofar *Summary)
}

// Summary is the result of all runs so far.
type Summary struct {
	Seeds       uint64 // number of seeds that were run
	Requests    int    // requests that were scheduled, over all seeds
	Violating   []*simulation.Report
	ByInvariant map[string]int // by invariant: number of runs in which this invariant was the first to be violated
	Elapsed     time.Duration
}

// PerSeed returns the mean time that one worker took for one seed.
func (s *Summary) PerSeed(workers int) time.Duration {
	return time.Duration(float64(s.Elapsed) * float64(max(1, workers)) / float64(max(1, s.Seeds)))
}

// Run runs the seeds and returns the summary. It stops early when the context ends; runs that have started are finished.
func Run(ctx context.Context, sim Simulation, opt Options) *Summary {
	runner := &runner{options: opt, began: time.Now(), summary: Summary{ByInvariant: map[string]int{}}}
	seeds := make(chan uint64) // closed below, once all seeds to be run have been sent
	var workers sync.WaitGroup
	for range max(1, opt.Workers) {
		workers.Go(func() {
			for seed := range seeds {
				runner.record(sim.Run(seed, nil, simulation.Options{}))
			}
		})
	}
	runner.feed(ctx, seeds)
	close(seeds)
	workers.Wait()
	runner.summary.Elapsed = time.Since(runner.began)
	return &runner.summary
}

type runner struct {
	options Options
	began   time.Time

	mu      sync.Mutex
	summary Summary
}

// feed sends the seeds to the workers. It returns early if the context ends, or at a violation with
// Options.StopAtViolation.
func (r *runner) feed(ctx context.Context, seeds chan<- uint64) {
	for seed := r.options.First; seed < r.options.First+r.options.Count; seed++ {
		if r.options.StopAtViolation && r.hasViolation() {
			return
		}
		select {
		case seeds <- seed:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runner) hasViolation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.summary.Violating) > 0
}

// record adds a finished run to the summary.
func (r *runner) record(report *simulation.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Seeds++
	r.summary.Requests += report.Scheduled
	if len(report.Violations) > 0 {
		r.summary.Violating = append(r.summary.Violating, report)
		r.summary.ByInvariant[report.Violations[0].Invariant]++
	}
	r.summary.Elapsed = time.Since(r.began)
	if r.options.OnReport != nil {
		r.options.OnReport(report, &r.summary)
	}
}
