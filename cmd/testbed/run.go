package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/testbed/demo"
	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/scenario"
)

// shared are the flags of the verbs that play a scenario.
type shared struct {
	seed   uint64
	length time.Duration
	level  string
	format string
}

func (s *shared) add(cmd *cobra.Command) {
	f := cmd.Flags()
	f.Uint64Var(&s.seed, "seed", 0, "draws the figures that are ranges; 0 draws a seed, too")
	f.DurationVar(&s.length, "length", 0, "of the load, in place of the scenario's")
	f.StringVar(&s.level, "log-level", "warn", "debug, info, warn or error")
	f.StringVar(&s.format, "log-format", "auto", "auto, text or json")
}

// plan reads a scenario and draws it.
func (s *shared) plan(name string) (*scenario.Plan, logs.Options, error) {
	level, err := logs.Level(s.level)
	if err != nil {
		return nil, logs.Options{}, fmt.Errorf("--log-level: %w", err)
	}
	sc, err := readScenario(name)
	if err != nil {
		return nil, logs.Options{}, err
	}
	if s.seed == 0 {
		s.seed = demo.Seed()
	}
	p := sc.Draw(s.seed)
	if s.length > 0 {
		p.SetLength(s.length)
	}
	return p, logs.Options{Level: level, Format: s.format}, nil
}

func demoCommand() *cobra.Command {
	var s shared
	var program, dir string
	var restarts int
	var roll demo.Rollout
	cmd := &cobra.Command{Use: "demo [SCENARIO]", Short: "Play a scenario whole: emulated portal, real nodes, a light load and a summary",
		Example: "  testbed demo\n  testbed demo rush --seed 7\n  testbed demo calm --restarts 1 --node bin/shelfproxy\n" +
			"  testbed demo roll --roll 4 --roll-lost 0.1",
		Args: cobra.MaximumNArgs(1), ValidArgsFunction: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			name := "demo"
			if len(args) > 0 {
				name = args[0]
			}
			plan, logging, err := s.plan(name)
			if err != nil {
				return err
			}
			if dir == "" {
				if dir, err = demo.TempDir(); err != nil {
					return exit.With(exitFailed, err)
				}
				defer os.RemoveAll(dir)
			} else if err := os.MkdirAll(dir, 0o755); err != nil {
				return exit.With(exitFailed, err)
			}
			out := cmd.OutOrStdout()
			live := false
			if f, ok := out.(*os.File); ok {
				live = term.IsTerminal(int(f.Fd()))
			}
			every := 2 * time.Second
			if live {
				every = 500 * time.Millisecond
			}
			fmt.Fprintf(out, "playing %s with seed %d\n", plan.Name, plan.Seed)
			r, err := demo.Run(cmd.Context(), demo.Options{Plan: plan, Program: program, Dir: dir, Log: logs.New(os.Stderr, logging),
				Out: out, Live: live, Every: every, Restarts: restarts, Rollout: rollOf(&roll)})
			if err != nil {
				return exit.With(exitFailed, err)
			}
			r.Write(out)
			switch {
			case !r.IsClean():
				return exit.With(exitRules, errors.New("a rule was broken"))
			case r.Interrupted:
				return context.Canceled
			}
			return nil
		}}
	s.add(cmd)
	f := cmd.Flags()
	f.StringVar(&program, "node", "", "the node's program; found beside this one, or built, where it is not given")
	f.StringVar(&dir, "dir", "", "folder for configurations and logs; a temporary one where it is not given")
	f.IntVar(&roll.Budget, "roll", 0, "have the fleet go to another release by its own agreement, with so many nodes out at once")
	f.Float64Var(&roll.Faults.Dropped, "roll-lost", 0, "share of the datagrams between nodes that is lost meanwhile, and the same share that comes twice")
	f.DurationVar(&roll.Stall, "roll-stall", 0, "stop the first node that goes out for so long, at that moment")
	f.IntVar(&restarts, "restarts", 0, "how often every node is restarted in turn")
	return cmd
}

// rollOf completes the roll that the flags ask for, if they do.
func rollOf(r *demo.Rollout) *demo.Rollout {
	if r.Budget == 0 {
		return nil
	}
	r.Faults.Duplicated, r.Faults.Delay, r.After = r.Faults.Dropped, 20*time.Millisecond, 2*time.Second
	return r
}

func emulateCommand() *cobra.Command {
	var s shared
	var dir, summary, trace string
	var basePort int
	cmd := &cobra.Command{Use: "emulate SCENARIO", Short: "Play the portal of a scenario until Ctrl-C, for nodes started by hand",
		Long: "emulate plays the portal of a scenario until Ctrl-C or the end of its length, for nodes that are started by\n" +
			"hand. It writes a configuration for each node into --dir; start one with LB_CONFIG=DIR/n0.json shelfproxy.",
		Example: "  testbed emulate deploy --dir run --base-port 7000\n  LB_CONFIG=run/n0.json shelfproxy",
		Args:    cobra.ExactArgs(1), ValidArgsFunction: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, logging, err := s.plan(args[0])
			if err != nil {
				return err
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return exit.With(exitFailed, err)
			}
			opt := emulator.Options{Log: logs.New(os.Stderr, logging), BasePort: basePort}
			if trace != "" {
				f, err := os.Create(trace)
				if err != nil {
					return exit.With(exitFailed, fmt.Errorf("--trace: %w", err))
				}
				defer f.Close()
				opt.Trace = func(line []byte) { f.Write(line) }
			}
			em, err := emulator.New(plan, opt)
			if err != nil {
				return exit.With(exitFailed, err)
			}
			defer em.Close()
			if err := em.Start(); err != nil {
				return exit.With(exitFailed, err)
			}
			configs, err := em.WriteConfigs(dir)
			if err != nil {
				return exit.With(exitFailed, err)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "emulating %s with seed %d: %d boxes\n", plan.Name, plan.Seed, len(plan.Spec.CacheServers))
			for _, c := range configs {
				fmt.Fprintf(out, "LB_CONFIG=%s shelfproxy   # listens at %s\n", c.Path, c.Listen)
			}
			fmt.Fprintln(out, "ready; Ctrl-C ends it")
			ended := cmd.Context().Done()
			if s.length > 0 {
				select {
				case <-ended:
				case <-time.After(s.length):
				}
			} else {
				<-ended
			}
			sum := em.Summary()
			if summary != "" {
				text, err := json.MarshalIndent(sum, "", "  ")
				if err == nil {
					err = os.WriteFile(filepath.Clean(summary), append(text, '\n'), 0o644)
				}
				if err != nil {
					return exit.With(exitFailed, fmt.Errorf("--summary: %w", err))
				}
			}
			fmt.Fprintf(out, "%.1f s: %d connections, %d attempts, %d probes, %d malformed, event log %016x\n", sum.Length.Seconds(),
				sum.Connections, sum.Requests, sum.Probes, sum.Malformed, sum.Events)
			if len(sum.Broken) > 0 {
				for _, v := range sum.Broken {
					fmt.Fprintln(out, v)
				}
				return exit.With(exitRules, fmt.Errorf("%d rules were broken", len(sum.Broken)))
			}
			return nil
		}}
	s.add(cmd)
	f := cmd.Flags()
	f.StringVar(&dir, "dir", "lab-run", "folder for the nodes' configurations")
	f.IntVar(&basePort, "base-port", 0, "node i listens at this port plus i, its discovery at 100 more; 0 takes free ports")
	f.StringVar(&summary, "summary", "", "write what the run came to into this file, as JSON")
	f.StringVar(&trace, "trace", "", "write the model's event log into this file")
	return cmd
}
