package main

import (
	"fmt"
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

func overheadCommands() []*cobra.Command {
	opt := overhead.Options{}
	cmd := &cobra.Command{Use: "overhead", Short: "Measure what a node costs beside a program that only copies bytes",
		Long: "overhead asks a box that answers at once straight, through a program that only copies bytes, and through a node,\n" +
			"in turns within one run. The ratios to the copying program are the project's figure of performance.",
		Example: "  testbed overhead\n  testbed overhead --clients 128 --rounds 5 --node bin/shelfproxy", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := demo.TempDir()
			if err != nil {
				return exit.With(exitFailed, err)
			}
			defer os.RemoveAll(dir)
			opt.Dir = dir
			if opt.Self, err = os.Executable(); err != nil {
				return exit.With(exitFailed, err)
			}
			if opt.Node == "" {
				if opt.Node, err = nodes.Find(cmd.Context(), dir); err != nil {
					return exit.With(exitFailed, err)
				}
			}
			rs, err := overhead.Run(cmd.Context(), opt)
			if err != nil {
				return exit.With(exitFailed, err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d clients, values of %d bytes, %d rounds of %s a way\n", opt.Clients, opt.Bytes, opt.Rounds, opt.Span)
			overhead.Write(cmd.OutOrStdout(), rs)
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&opt.Node, "node", "", "the node's program; found beside this one, or built, where it is not given")
	f.IntVar(&opt.Clients, "clients", 32, "that ask at a time")
	f.IntVar(&opt.Rounds, "rounds", 3, "after one to warm up")
	f.DurationVar(&opt.Span, "span", 2*time.Second, "of a way in a round")
	f.IntVar(&opt.Bytes, "bytes", 400, "of a value")

	// What the measurement starts as processes of their own, with one processor as a node has.
	box := &cobra.Command{Use: "overhead-box ADDRESS BYTES", Hidden: true, Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
		size, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return exit.With(exitFailed, overhead.Box(cmd.Context(), args[0], size))
	}}
	splice := &cobra.Command{Use: "overhead-splice ADDRESS TO", Hidden: true, Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
		runtime.GOMAXPROCS(1)
		return exit.With(exitFailed, overhead.Splice(cmd.Context(), args[0], args[1]))
	}}
	return []*cobra.Command{cmd, box, splice}
}
