package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/testbed/clients"
	"shelfproxy/internal/testbed/trace"
	"shelfproxy/internal/testbed/workload"
)

func loadCommand() *cobra.Command {
	var s shared
	var to []string
	var closed int
	var rate, speed float64
	var recordTo, replay string
	cmd := &cobra.Command{Use: "load SCENARIO", Short: "Send the load of a scenario to nodes that run already",
		Long: "load sends the load of a scenario to nodes that run already, on a schedule drawn ahead, whether or not answers\n" +
			"come back. Latency counts from when each request was due. A run in which the generator fell behind is not\n" +
			"valid: it says why and exits with 5.",
		Example: "  testbed load calm --to 127.0.0.1:7000,127.0.0.1:7001 --rate 500 --length 30s\n" +
			"  testbed load calm --to 127.0.0.1:7000 --closed 16     # a closed loop, to see what it hides",
		Args: cobra.ExactArgs(1), ValidArgsFunction: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, _, err := s.plan(args[0])
			if err != nil {
				return err
			}
			var nodes []clients.Node
			plan.Workload.NodeWeights = nil
			for _, addr := range to {
				if _, _, err := net.SplitHostPort(addr); err != nil {
					return fmt.Errorf("--to: %q is no host and port", addr)
				}
				nodes = append(nodes, clients.Node{Addr: addr})
				plan.Workload.NodeWeights = append(plan.Workload.NodeWeights, 1)
			}
			if rate > 0 {
				plan.Workload.Processes[0].Rate = rate
			}
			opt := clients.Options{Nodes: nodes, Closed: closed}
			var classes []string
			for _, c := range plan.Classes {
				classes = append(classes, c.Name)
			}
			if replay != "" {
				r, err := trace.Open(replay)
				if err != nil {
					return exit.With(exitFailed, err)
				}
				defer r.Close()
				if opt.Source, err = source(r, classes, len(nodes), speed); err != nil {
					return exit.With(exitFailed, err)
				}
			}
			var failed error
			if recordTo != "" {
				w, err := trace.Create(recordTo, trace.Meta{Classes: classes, Nodes: len(nodes), From: "testbed load " + args[0], StartedAt: time.Now().UTC()})
				if err != nil {
					return exit.With(exitFailed, err)
				}
				opt.Record = func(a workload.Arrival) { failed = errors.Join(failed, w.Add(a)) }
				defer w.Close()
			}
			l := clients.New(plan, opt)
			l.Run(cmd.Context())
			if failed != nil {
				return exit.With(exitFailed, failed)
			}
			out := cmd.OutOrStdout()
			clients.WriteClasses(out, l.Classes())
			g := l.Generator()
			g.Write(out)
			switch why := g.Invalid(); {
			case cmd.Context().Err() != nil:
				return context.Canceled
			case len(why) > 0:
				return exit.With(exitInvalid, errors.New("the run is not valid: "+strings.Join(why, "; ")))
			}
			return nil
		}}
	s.add(cmd)
	f := cmd.Flags()
	f.StringSliceVar(&to, "to", nil, "addresses of the nodes, which share the load evenly")
	f.IntVar(&closed, "closed", 0, "send in a closed loop of so many clients instead")
	f.Float64Var(&rate, "rate", 0, "steady rate in requests a second, in place of the scenario's")
	f.StringVar(&recordTo, "record", "", "write the requests into this new file, as a trace")
	f.StringVar(&replay, "replay", "", "send the requests of this trace in place of the scenario's; its classes must be the scenario's")
	f.Float64Var(&speed, "speed", 1, "play a trace so many times as fast")
	cmd.MarkFlagRequired("to")
	return cmd
}

// source gives out the requests of a trace for the classes of a scenario.
func source(r *trace.Reader, classes []string, nodes int, speed float64) (func() (workload.Arrival, bool), error) {
	number := make([]int, len(r.Meta.Classes))
	for i, name := range r.Meta.Classes {
		if number[i] = slices.Index(classes, name); number[i] < 0 {
			return nil, fmt.Errorf("the trace has a class %q, which the scenario lacks", name)
		}
	}
	if !(speed > 0) {
		return nil, errors.New("--speed must be above 0")
	}
	faster := trace.Scale(speed)
	return func() (workload.Arrival, bool) {
		a, err := r.Next()
		if err != nil {
			if err != io.EOF {
				fmt.Fprintln(os.Stderr, "testbed:", err)
			}
			return a, false
		}
		a, _ = faster(a)
		a.Class, a.Node = number[a.Class], a.Node%nodes
		return a, true
	}, nil
}

func traceCommand() *cobra.Command {
	root := &cobra.Command{Use: "trace", Short: "Look at traces and make others of them"}
	var from, to time.Duration
	var speed float64
	var salt string
	copyTo := func(use, short string, change func() (trace.Change, error)) *cobra.Command {
		return &cobra.Command{Use: use + " FROM TO", Short: short, Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, args []string) error {
			c, err := change()
			if err != nil {
				return err
			}
			n, err := trace.Copy(args[0], args[1], c)
			if err != nil {
				return exit.With(exitFailed, err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d requests\n", n)
			return nil
		}}
	}
	cut := copyTo("cut", "Keep what was due between two times", func() (trace.Change, error) { return trace.Cut(from, to), nil })
	cut.Flags().DurationVar(&from, "from", 0, "becomes the start")
	cut.Flags().DurationVar(&to, "to", 0, "the end; 0 is that of the trace")
	scale := copyTo("scale", "Play it faster or slower", func() (trace.Change, error) {
		if !(speed > 0) {
			return nil, errors.New("--speed must be above 0")
		}
		return trace.Scale(speed), nil
	})
	scale.Flags().Float64Var(&speed, "speed", 1, "so many times as fast")
	anon := copyTo("anonymise", "Put hashes in the place of keys", func() (trace.Change, error) {
		if salt == "" {
			return nil, errors.New("--salt: give one that nobody else knows")
		}
		return trace.Anonymise(salt), nil
	})
	anon.Flags().StringVar(&salt, "salt", "", "goes into every hash")
	root.AddCommand(cut, scale, anon,
		&cobra.Command{Use: "info FILE", Short: "Say what a trace holds", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			i, err := trace.Inspect(args[0])
			if err != nil {
				return exit.With(exitFailed, err)
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%d requests in %s, %d in the busiest second, %d keys; %s drew %.1f%%\n", i.Requests, i.Length, i.Busiest, i.Keys,
				i.Hottest, i.HotShare*100)
			for n, name := range i.Meta.Classes {
				fmt.Fprintf(w, "%s: %d\n", name, i.ByClass[n])
			}
			if i.Torn > 0 {
				fmt.Fprintf(w, "the last %d bytes are no whole block\n", i.Torn)
			}
			return nil
		}},
		&cobra.Command{Use: "export FILE", Short: "Write a trace as lines of JSON", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			return exit.With(exitFailed, trace.Export(args[0], cmd.OutOrStdout()))
		}},
		&cobra.Command{Use: "import FILE", Short: "Make a trace of lines of JSON from standard input", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				n, err := trace.Import(cmd.InOrStdin(), args[0])
				if err != nil {
					return exit.With(exitFailed, err)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%d requests\n", n)
				return nil
			}})
	return root
}
