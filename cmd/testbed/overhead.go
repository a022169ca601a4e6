package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/testbed/demo"
	"shelfproxy/internal/testbed/nodes"
	"shelfproxy/internal/testbed/overhead"
)

// overheadCommands returns the command overhead and the hidden commands of the processes that overhead starts.
func overheadCommands() []*cobra.Command {
	return []*cobra.Command{overheadCommand(), cacheServerCommand(), copyCommand()}
}

func overheadCommand() *cobra.Command {
	var options overhead.Options
	cmd := &cobra.Command{Use: "overhead", Short: "Measure the cost of a node against a program that only copies bytes",
		Long: "overhead sends requests to a cache server that answers immediately: directly, through a program that only copies\n" +
			"bytes, and through a node, in turn within one run. The ratios to the copying program are the project's\n" +
			"performance figures.",
		Example: "  testbed overhead\n  testbed overhead --clients 128 --rounds 5 --node bin/shelfproxy", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return exit.With(exitFailed, measureOverhead(cmd.Context(), cmd.OutOrStdout(), options))
		}}
	set := cmd.Flags()
	set.StringVar(&options.Node, "node", "", "path of the node's program; by default the one next to this program or, if there is none, a new build")
	set.IntVar(&options.Clients, "clients", 32, "number of clients that send requests concurrently")
	set.IntVar(&options.Rounds, "rounds", 3, "number of measured rounds, after one round to warm up")
	set.DurationVar(&options.Span, "span", 2*time.Second, "duration of the load on each path in a round")
	set.IntVar(&options.ValueSize, "bytes", 400, "size of a value, in bytes")
	return cmd
}

// measureOverhead runs the measurement in a temporary directory and prints the results.
func measureOverhead(ctx context.Context, out io.Writer, options overhead.Options) (err error) {
	if options.Dir, err = demo.TempDir(); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(options.Dir) }() // if this fails, the directory remains, which does no harm
	if options.Self, err = os.Executable(); err != nil {
		return err
	}
	if options.Node == "" {
		if options.Node, err = nodes.FindProgram(ctx, options.Dir); err != nil {
			return err
		}
	}
	results, err := overhead.Run(ctx, options)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d clients, values of %d bytes, %d rounds of %s a way\n", options.Clients, options.ValueSize, options.Rounds, options.Span)
	return overhead.Write(out, results)
}

func cacheServerCommand() *cobra.Command {
	return &cobra.Command{Use: overhead.CacheServerVerb + " ADDRESS BYTES", Hidden: true, Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			valueSize, err := strconv.Atoi(args[1])
			if err != nil {
				return err
			}
			return exit.With(exitFailed, overhead.ServeCache(cmd.Context(), args[0], valueSize))
		}}
}

func copyCommand() *cobra.Command {
	return &cobra.Command{Use: overhead.CopyVerb + " ADDRESS TO", Hidden: true, Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			runtime.GOMAXPROCS(1) // a node also runs on one processor
			return exit.With(exitFailed, overhead.ServeCopy(cmd.Context(), args[0], args[1]))
		}}
}
