package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/testbed/simulation"
)

// runs is what a seed means: one of the two things that can be simulated.
type runs struct {
	run    func(seed uint64, skip map[int]bool, opt simulation.Options) *simulation.Report
	shrink func(seed uint64, rule string) (map[int]bool, *simulation.Report)
}

var (
	requests = runs{func(seed uint64, skip map[int]bool, opt simulation.Options) *simulation.Report {
		return simulation.Run(simulation.Draw(seed, skip), opt)
	}, simulation.Shrink}
	// agreements have many nodes and no requests.
	agreements = runs{func(seed uint64, skip map[int]bool, opt simulation.Options) *simulation.Report {
		return simulation.RunFleet(simulation.DrawFleet(seed, skip), opt)
	}, simulation.ShrinkFleet}
)

func simulateCommand() *cobra.Command {
	var seeds, from, replay uint64
	var jobs int
	var skip, trace string
	var shrink, reports, first, replaying, fleets bool
	cmd := &cobra.Command{Use: "simulate", Short: "Play fleets on a virtual clock, with faults drawn by seeds, and check every rule after every step",
		Long: "simulate plays whole fleets on a virtual clock: the real cores of nodes against the lab's model, over a simulated\n" +
			"network, one run for each seed. A run is the same each time, byte for byte. Exit code 3 says that a rule was broken.",
		Example: "  testbed simulate --seeds 10000\n  testbed simulate --fleet --seeds 10000\n  testbed simulate --replay 4711 --trace run.txt\n  testbed simulate --seeds 500 --shrink",
		Args:    cobra.NoArgs,
		PreRunE: func(cmd *cobra.Command, _ []string) error {
			replaying = cmd.Flags().Changed("replay")
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			of := requests
			if fleets {
				of = agreements
			}
			if replaying {
				return replayOne(cmd, of, replay, skip, trace, shrink)
			}
			began := time.Now()
			var mu sync.Mutex
			var bad []*simulation.Report
			rules := map[string]int{}
			done, due := uint64(0), 0
			next := make(chan uint64)
			var workers sync.WaitGroup
			for range max(1, jobs) {
				workers.Go(func() {
					for seed := range next {
						r := of.run(seed, nil, simulation.Options{})
						mu.Lock()
						done++
						due += r.Due
						if reports {
							fmt.Fprintln(out, r)
						}
						if len(r.Broken) > 0 {
							bad = append(bad, r)
							rules[r.Broken[0].Rule]++
							if !reports {
								fmt.Fprintln(out, r)
							}
						}
						if done%1000 == 0 {
							fmt.Fprintf(out, "%d of %d seeds, %d broken, %.0f s\n", done, seeds, len(bad), time.Since(began).Seconds())
						}
						mu.Unlock()
					}
				})
			}
		feed:
			for seed := from; seed < from+seeds; seed++ {
				mu.Lock()
				enough := first && len(bad) > 0
				mu.Unlock()
				if enough {
					break
				}
				select {
				case next <- seed:
				case <-cmd.Context().Done():
					break feed
				}
			}
			close(next)
			workers.Wait()
			took := time.Since(began)
			fmt.Fprintf(out, "%d seeds, %d requests, %d broken, %.1f s on %d workers (%.1f ms a seed)\n", done, due, len(bad), took.Seconds(), jobs,
				took.Seconds()*1000*float64(max(1, jobs))/float64(max(1, done)))
			var names []string
			for rule := range rules {
				names = append(names, rule)
			}
			slices.Sort(names)
			for _, rule := range names {
				fmt.Fprintf(out, "%s: %d seeds\n", rule, rules[rule])
			}
			if shrink {
				for _, r := range bad[:min(len(bad), 5)] {
					left, small := of.shrink(r.Seed, r.Broken[0].Rule)
					fmt.Fprintf(out, "shrunk: --replay %d --skip %s: %s\n", r.Seed, simulation.SkipWords(left), small)
				}
			}
			switch {
			case len(bad) > 0:
				return exit.With(exitRules, fmt.Errorf("%d of %d seeds broke a rule; --replay SEED shows one", len(bad), done))
			case cmd.Context().Err() != nil:
				return context.Canceled
			}
			return nil
		}}
	f := cmd.Flags()
	f.Uint64Var(&seeds, "seeds", 1000, "how many")
	f.Uint64Var(&from, "from", 0, "the first seed")
	f.IntVar(&jobs, "jobs", runtime.GOMAXPROCS(0), "runs at a time")
	f.Uint64Var(&replay, "replay", 0, "play this seed alone")
	f.StringVar(&skip, "skip", "", "with --replay: numbers of the parts to leave out, as --shrink names them")
	f.StringVar(&trace, "trace", "", "with --replay: write the event log into this file, - for the terminal")
	f.BoolVar(&shrink, "shrink", false, "leave out what is not needed to break the same rule")
	f.BoolVar(&first, "first", false, "stop at the first seed that breaks a rule")
	f.BoolVar(&fleets, "fleet", false, "play what nodes agree on among themselves: duties, who is out, who is there")
	f.BoolVar(&reports, "reports", false, "a line for each seed, also where all is kept")
	return cmd
}

// replayOne plays one seed and tells all about it.
func replayOne(cmd *cobra.Command, of runs, seed uint64, skip, trace string, shrink bool) error {
	out := cmd.OutOrStdout()
	left := map[int]bool{}
	for _, word := range strings.FieldsFunc(skip, func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(word)
		if err != nil {
			return fmt.Errorf("--skip: %q is no number", word)
		}
		left[n] = true
	}
	var opt simulation.Options
	switch trace {
	case "":
	case "-":
		opt.Trace = func(line []byte) { out.Write(line) }
	default:
		file, err := os.Create(trace)
		if err != nil {
			return exit.With(exitFailed, fmt.Errorf("--trace: %w", err))
		}
		defer file.Close()
		opt.Trace = func(line []byte) { file.Write(line) }
	}
	r := of.run(seed, left, opt)
	fmt.Fprintln(out, r)
	for _, b := range r.Broken {
		fmt.Fprintln(out, " ", b)
	}
	if len(r.Broken) == 0 {
		return nil
	}
	if shrink {
		left, small := of.shrink(seed, r.Broken[0].Rule)
		fmt.Fprintf(out, "shrunk: --replay %d --skip %s: %s\n", seed, simulation.SkipWords(left), small)
	}
	return exit.With(exitRules, errors.New("a rule was broken"))
}
