package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/testbed/demo"
)

const (
	defaultScenario = "demo"

	liveInterval   = 500 * time.Millisecond // between two reports of the progress on a terminal
	reportInterval = 2 * time.Second        // between two of them elsewhere

	rolloutDelay = 20 * time.Millisecond // of the datagrams during a rollout
	rolloutAfter = 2 * time.Second       // when the release is ordered, from the start of the load
)

// demoFlags are the flags of demo.
type demoFlags struct {
	scenarioFlags
	program, dir string
	restarts     int
	rollout      demo.Rollout
}

func (flags *demoFlags) add(cmd *cobra.Command) {
	flags.scenarioFlags.add(cmd)
	set := cmd.Flags()
	set.StringVar(&flags.program, "node", "", "the node's program; by default the one beside this one, or else built")
	set.StringVar(&flags.dir, "dir", "", "directory for configurations and logs; by default a temporary one")
	set.IntVar(&flags.rollout.Budget, "roll", 0, "have the fleet go to another release by its own agreement, with this many nodes out of service at once")
	set.Float64Var(&flags.rollout.Faults.Dropped, "roll-lost", 0, "part of the datagrams between nodes that is lost meanwhile, and the part that is duplicated")
	set.DurationVar(&flags.rollout.Stall, "roll-stall", 0, "stop the first node that drains for this long, at that moment")
	set.IntVar(&flags.restarts, "restarts", 0, "how often every node is restarted in turn")
}

func demoCommand() *cobra.Command {
	var flags demoFlags
	cmd := &cobra.Command{Use: "demo [SCENARIO]", Short: "Play a whole scenario: emulated portal, real nodes, a light load and a summary",
		Example: "  testbed demo\n  testbed demo rush --seed 7\n  testbed demo calm --restarts 1 --node bin/shelfproxy\n" +
			"  testbed demo roll --roll 4 --roll-lost 0.1",
		Args: cobra.MaximumNArgs(1), ValidArgsFunction: completeScenario,
		RunE: func(cmd *cobra.Command, args []string) error {
			name := defaultScenario
			if len(args) > 0 {
				name = args[0]
			}
			return playDemo(cmd.Context(), cmd.OutOrStdout(), name, &flags)
		}}
	flags.add(cmd)
	return cmd
}

// playDemo plays a scenario and prints its progress and its summary.
func playDemo(ctx context.Context, out io.Writer, scenarioName string, flags *demoFlags) error {
	plan, logging, err := flags.plan(scenarioName)
	if err != nil {
		return err
	}
	dir, removeDir, err := runDir(flags.dir)
	if err != nil {
		return exit.With(exitFailed, err)
	}
	defer removeDir()
	live, every := isTerminal(out), reportInterval
	if live {
		every = liveInterval
	}
	fmt.Fprintf(out, "playing %s with seed %d\n", plan.Name, plan.Seed)
	result, err := demo.Run(ctx, demo.Options{Plan: plan, Program: flags.program, Dir: dir, Log: logs.New(os.Stderr, logging),
		Out: out, Live: live, Every: every, Restarts: flags.restarts, Rollout: flags.rolloutOptions()})
	if err != nil {
		return exit.With(exitFailed, err)
	}
	if err := result.Write(out); err != nil {
		return exit.With(exitFailed, err)
	}
	switch {
	case !result.IsClean():
		return exit.With(exitInvariant, errors.New("an invariant was violated or a node failed"))
	case result.Interrupted:
		return context.Canceled
	}
	return nil
}

// runDir makes the directory of the flags, or a temporary one that remove removes where they have none.
func runDir(path string) (dir string, remove func(), err error) {
	if path != "" {
		return path, func() {}, os.MkdirAll(path, 0o755)
	}
	if dir, err = demo.TempDir(); err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil // a directory that stays does no harm
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}

// rolloutOptions returns the rollout that the flags ask for; nil if they do not.
func (flags *demoFlags) rolloutOptions() *demo.Rollout {
	if flags.rollout.Budget == 0 {
		return nil
	}
	rollout := flags.rollout
	rollout.Faults.Duplicated, rollout.Faults.Delay, rollout.After = rollout.Faults.Dropped, rolloutDelay, rolloutAfter
	return &rollout
}
