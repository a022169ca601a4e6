package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/testbed/seedrunner"
	"shelfproxy/internal/testbed/simulation"
)

const (
	progressEvery = 1000 // number of seeds between two lines of progress
	maxShrunk     = 5    // maximum number of violating runs for which --shrink searches a smaller run

	traceToTerminal = "-" // value of --trace that writes the event log to the terminal
)

// simulateFlags are the flags of the command simulate.
type simulateFlags struct {
	seeds, from, replay               uint64
	workers                           int
	skip, trace                       string
	isReplay                          bool // --replay was given, possibly with the value 0
	shrink, reports, firstOnly, fleet bool
}

func (flags *simulateFlags) add(cmd *cobra.Command) {
	set := cmd.Flags()
	set.Uint64Var(&flags.seeds, "seeds", 1000, "number of seeds to run")
	set.Uint64Var(&flags.from, "from", 0, "the first seed")
	set.IntVar(&flags.workers, "jobs", runtime.GOMAXPROCS(0), "number of runs in parallel")
	set.Uint64Var(&flags.replay, "replay", 0, "run only this seed")
	set.StringVar(&flags.skip, "skip", "", "with --replay: comma-separated numbers of the parts to leave out, as --shrink prints them")
	set.StringVar(&flags.trace, "trace", "", "with --replay: write the event log to this file; - writes it to the terminal")
	set.BoolVar(&flags.shrink, "shrink", false, "make violating runs smaller: leave out all parts that are not needed to violate the same invariant")
	set.BoolVar(&flags.firstOnly, "first", false, "stop at the first seed that violates an invariant")
	set.BoolVar(&flags.fleet, "fleet", false, "simulate agreements among nodes instead of requests: leases, rollouts, membership")
	set.BoolVar(&flags.reports, "reports", false, "print a line for every seed, even if no invariant was violated")
}

func (flags *simulateFlags) simulation() seedrunner.Simulation {
	if flags.fleet {
		return seedrunner.Agreements
	}
	return seedrunner.Requests
}

func simulateCommand() *cobra.Command {
	var flags simulateFlags
	cmd := &cobra.Command{Use: "simulate", Short: "Run fleets on a virtual clock, with faults drawn by seeds, and check every invariant after every step",
		Long: "simulate runs whole fleets on a virtual clock: the real cores of nodes against the testbed's model, over a simulated\n" +
			"network, one run for each seed. A seed always gives the same run, byte for byte. Exit code 3 means that an invariant was violated.",
		Example: "  testbed simulate --seeds 10000\n  testbed simulate --fleet --seeds 10000\n  testbed simulate --replay 4711 --trace run.txt\n  testbed simulate --seeds 500 --shrink",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if flags.isReplay = cmd.Flags().Changed("replay"); flags.isReplay {
				return replaySeed(cmd.OutOrStdout(), &flags)
			}
			return simulateSeeds(cmd.Context(), cmd.OutOrStdout(), &flags)
		}}
	flags.add(cmd)
	return cmd
}

// simulateSeeds runs all seeds and prints the violating runs, the progress and a summary.
func simulateSeeds(ctx context.Context, out io.Writer, flags *simulateFlags) error {
	summary := seedrunner.Run(ctx, flags.simulation(), seedrunner.Options{
		First: flags.from, Count: flags.seeds, Workers: flags.workers, StopAtViolation: flags.firstOnly,
		OnReport: func(report *simulation.Report, sofar *seedrunner.Summary) {
			if flags.reports || len(report.Violations) > 0 {
				fmt.Fprintln(out, report)
			}
			if sofar.Seeds%progressEvery == 0 {
				fmt.Fprintf(out, "%d of %d seeds, %d broken, %.0f s\n", sofar.Seeds, flags.seeds, len(sofar.Violating), sofar.Elapsed.Seconds())
			}
		}})
	printSummary(out, summary, flags.workers)
	if flags.shrink {
		for _, report := range summary.Violating[:min(len(summary.Violating), maxShrunk)] {
			printShrunk(out, flags.simulation(), report)
		}
	}
	switch {
	case len(summary.Violating) > 0:
		return exit.With(exitInvariant, fmt.Errorf("%d of %d seeds violated an invariant; --replay SEED shows one", len(summary.Violating), summary.Seeds))
	case ctx.Err() != nil:
		return context.Canceled
	}
	return nil
}

func printSummary(out io.Writer, summary *seedrunner.Summary, workers int) {
	fmt.Fprintf(out, "%d seeds, %d requests, %d broken, %.1f s on %d workers (%.1f ms a seed)\n", summary.Seeds, summary.Requests,
		len(summary.Violating), summary.Elapsed.Seconds(), workers, summary.PerSeed(workers).Seconds()*1000)
	for _, invariant := range slices.Sorted(maps.Keys(summary.ByInvariant)) {
		fmt.Fprintf(out, "%s: %d seeds\n", invariant, summary.ByInvariant[invariant])
	}
}

// printShrunk searches for a smaller run that violates the same invariant and prints how to replay it.
func printShrunk(out io.Writer, sim seedrunner.Simulation, report *simulation.Report) {
	skip, shrunk := sim.Shrink(report.Seed, report.Violations[0].Invariant)
	fmt.Fprintf(out, "shrunk: --replay %d --skip %s: %s\n", report.Seed, simulation.FormatSkip(skip), shrunk)
}

// replaySeed runs one seed and prints its report with every violation.
func replaySeed(out io.Writer, flags *simulateFlags) error {
	skip, err := parseSkip(flags.skip)
	if err != nil {
		return err
	}
	trace := writeEntries(out)
	if flags.trace != traceToTerminal {
		var closeTrace func()
		if trace, closeTrace, err = openTrace(flags.trace); err != nil {
			return exit.With(exitFailed, err)
		}
		defer closeTrace()
	}
	sim := flags.simulation()
	report := sim.Run(flags.replay, skip, simulation.Options{Trace: trace})
	fmt.Fprintln(out, report)
	for _, violation := range report.Violations {
		fmt.Fprintln(out, " ", violation)
	}
	if len(report.Violations) == 0 {
		return nil
	}
	if flags.shrink {
		printShrunk(out, sim, report)
	}
	return exit.With(exitInvariant, errors.New("an invariant was violated"))
}

// parseSkip parses the value of --skip: comma-separated numbers of the parts of a run to leave out.
func parseSkip(list string) (map[int]bool, error) {
	skip := map[int]bool{}
	for _, word := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		part, err := strconv.Atoi(word)
		if err != nil {
			return nil, fmt.Errorf("--skip: %q is not a number", word)
		}
		skip[part] = true
	}
	return skip, nil
}
