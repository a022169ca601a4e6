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

	liveInterval   = 500 * time.Millisecond // interval between two reports of the progress on a terminal
	reportInterval = 2 * time.Second        // interval between two reports of the progress if the output is no terminal

	rolloutDelay = 20 * time.Millisecond // upper bound of the random delay of datagrams during a rollout
	rolloutAfter = 2 * time.Second       // time from the start of the load after which the rollout is ordered
)

// demoFlags are the flags of the command demo.
type demoFlags struct {
	scenarioFlags
	program, dir string
	restarts     int
	rollout      demo.Rollout
}

func (flags *demoFlags) add(cmd *cobra.Command) {
	flags.scenarioFlags.add(cmd)
	set := cmd.Flags()
	set.StringVar(&flags.program, "node", "", "path of the node's program; by default the one next to this program or, if there is none, a new build")
	set.StringVar(&flags.dir, "dir", "", "directory for configurations and logs; by default a temporary one")
	set.IntVar(&flags.rollout.Budget, "roll", 0, "roll out another release, with at most this many nodes out of service at the same time")
	set.Float64Var(&flags.rollout.Faults.Dropped, "roll-lost", 0, "fraction of the datagrams between nodes that are lost during the rollout; the same fraction is duplicated")
	set.DurationVar(&flags.rollout.Stall, "roll-stall", 0, "pause the first node that drains for this long")
	set.IntVar(&flags.restarts, "restarts", 0, "number of times that every node is restarted, in turn")
}

func demoCommand() *cobra.Command {
	var flags demoFlags
	cmd := &cobra.Command{Use: "demo [SCENARIO]", Short: "Run a whole scenario: emulated system, real nodes, a light load and a summary",
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

// playDemo runs a scenario and prints its progress and its summary.
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

// runDir makes the directory at path. If path is empty, it makes a temporary directory, which remove deletes.
func runDir(path string) (dir string, remove func(), err error) {
	if path != "" {
		return path, func() {}, os.MkdirAll(path, 0o755)
	}
	if dir, err = demo.TempDir(); err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil // if this fails, the directory remains, which does no harm
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}

// rolloutOptions returns the options of the rollout that the flags request, or nil if they request none.
func (flags *demoFlags) rolloutOptions() *demo.Rollout {
	if flags.rollout.Budget == 0 {
		return nil
	}
	rollout := flags.rollout
	rollout.Faults.Duplicated, rollout.Faults.Delay, rollout.After = rollout.Faults.Dropped, rolloutDelay, rolloutAfter
	return &rollout
}
