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

// overheadCommands are the measurement and, hidden, the processes that it starts.
func overheadCommands() []*cobra.Command {
	return []*cobra.Command{overheadCommand(), cacheServerCommand(), copyCommand()}
}

func overheadCommand() *cobra.Command {
	var options overhead.Options
	cmd := &cobra.Command{Use: "overhead", Short: "Measure what a node costs beside a program that only copies bytes",
		Long: "overhead sends requests to a cache server that answers at once: straight, through a program that only copies\n" +
			"bytes, and through a node, in turns within one run. The ratios to the copying program are the project's figure\n" +
			"of performance.",
		Example: "  testbed overhead\n  testbed overhead --clients 128 --rounds 5 --node bin/shelfproxy", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return exit.With(exitFailed, measureOverhead(cmd.Context(), cmd.OutOrStdout(), options))
		}}
	set := cmd.Flags()
	set.StringVar(&options.Node, "node", "", "the node's program; by default the one beside this one, or else built")
	set.IntVar(&options.Clients, "clients", 32, "number of clients that send requests at a time")
	set.IntVar(&options.Rounds, "rounds", 3, "number of rounds, after one to warm up")
	set.DurationVar(&options.Span, "span", 2*time.Second, "length of a way in a round")
	set.IntVar(&options.ValueSize, "bytes", 400, "size of a value")
	return cmd
}

// measureOverhead runs the measurement in a directory of its own and prints the result.
func measureOverhead(ctx context.Context, out io.Writer, options overhead.Options) (err error) {
	if options.Dir, err = demo.TempDir(); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(options.Dir) }() // a directory that stays does no harm
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
			runtime.GOMAXPROCS(1) // as a node has
			return exit.With(exitFailed, overhead.ServeCopy(cmd.Context(), args[0], args[1]))
		}}
}
