package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/testbed/trace"
)

func traceCommand() *cobra.Command {
	root := &cobra.Command{Use: "trace", Short: "Inspect and convert traces"}
	root.AddCommand(traceCutCommand(), traceScaleCommand(), traceAnonymiseCommand(), traceInfoCommand(), traceExportCommand(), traceImportCommand())
	return root
}

// traceCopyCommand returns a command that copies a trace and applies a change to its requests.
func traceCopyCommand(verb, short string, change func() (trace.Change, error)) *cobra.Command {
	return &cobra.Command{Use: verb + " FROM TO", Short: short, Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			change, err := change()
			if err != nil {
				return err
			}
			requests, err := trace.Copy(args[0], args[1], change)
			return printRequests(cmd.OutOrStdout(), requests, err)
		}}
}

// printRequests prints the number of requests in a new trace. If the trace could not be made, it returns the error instead.
func printRequests(out io.Writer, requests int, err error) error {
	if err != nil {
		return exit.With(exitFailed, err)
	}
	fmt.Fprintf(out, "%d requests\n", requests)
	return nil
}

func traceCutCommand() *cobra.Command {
	var from, to time.Duration
	cmd := traceCopyCommand("cut", "Keep the requests due between two times", func() (trace.Change, error) { return trace.Cut(from, to), nil })
	cmd.Flags().DurationVar(&from, "from", 0, "time in the old trace at which the new trace starts")
	cmd.Flags().DurationVar(&to, "to", 0, "time in the old trace at which the new trace ends; 0 is the end of the old trace")
	return cmd
}

func traceScaleCommand() *cobra.Command {
	var speed float64
	cmd := traceCopyCommand("scale", "Make a trace faster or slower", func() (trace.Change, error) {
		if err := trace.CheckSpeed(speed); err != nil {
			return nil, fmt.Errorf("--speed: %w", err)
		}
		return trace.Scale(speed), nil
	})
	cmd.Flags().Float64Var(&speed, "speed", 1, "speed of the new trace; 2 is twice as fast")
	return cmd
}

func traceAnonymiseCommand() *cobra.Command {
	var salt string
	cmd := traceCopyCommand("anonymise", "Replace keys by hashes", func() (trace.Change, error) {
		if salt == "" {
			return nil, errors.New("--salt: missing; choose a secret text")
		}
		return trace.Anonymise(salt), nil
	})
	cmd.Flags().StringVar(&salt, "salt", "", "secret text that is part of every hash")
	return cmd
}

func traceInfoCommand() *cobra.Command {
	return &cobra.Command{Use: "info FILE", Short: "Describe the content of a trace", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			info, err := trace.Inspect(args[0])
			if err != nil {
				return exit.With(exitFailed, err)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%d requests in %s, %d in the busiest second, %d keys; %s drew %.1f%%\n", info.Requests, info.Length,
				info.BusiestSecond, info.Keys, info.HottestKey, info.HottestPart*100)
			for number, name := range info.Meta.Classes {
				fmt.Fprintf(out, "%s: %d\n", name, info.ByClass[number])
			}
			if info.TornBytes > 0 {
				fmt.Fprintf(out, "the last %d bytes are no complete block\n", info.TornBytes)
			}
			return nil
		}}
}

func traceExportCommand() *cobra.Command {
	return &cobra.Command{Use: "export FILE", Short: "Write a trace as lines of JSON", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return exit.With(exitFailed, trace.Export(args[0], cmd.OutOrStdout()))
		}}
}

func traceImportCommand() *cobra.Command {
	return &cobra.Command{Use: "import FILE", Short: "Make a trace from lines of JSON on standard input", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			requests, err := trace.Import(cmd.InOrStdin(), args[0])
			return printRequests(cmd.OutOrStdout(), requests, err)
		}}
}
