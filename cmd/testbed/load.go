package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/testbed/clients"
	"shelfproxy/internal/testbed/loadrunner"
)

// loadFlags are the flags of the command load.
type loadFlags struct {
	scenarioFlags
	to             []string
	closed         int
	rate, speed    float64
	record, replay string
}

func (flags *loadFlags) add(cmd *cobra.Command) {
	flags.scenarioFlags.add(cmd)
	set := cmd.Flags()
	set.StringSliceVar(&flags.to, "to", nil, "addresses of the nodes, which share the load evenly")
	set.IntVar(&flags.closed, "closed", 0, "send the requests in a closed loop of this many clients; 0 sends them in an open loop")
	set.Float64Var(&flags.rate, "rate", 0, "steady rate in requests per second, instead of the scenario's")
	set.StringVar(&flags.record, "record", "", "record the requests as a trace, in this new file")
	set.StringVar(&flags.replay, "replay", "", "send the requests of this trace instead of the scenario's; the scenario must have its classes")
	set.Float64Var(&flags.speed, "speed", 1, "speed of the replay; 2 is twice as fast")
	if err := cmd.MarkFlagRequired("to"); err != nil {
		panic(err) // cannot happen: the flag is defined above
	}
}

func loadCommand() *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{Use: "load SCENARIO", Short: "Send the load of a scenario to nodes that are already running",
		Long: "load sends the load of a scenario to nodes that are already running. It sends each request when the schedule\n" +
			"says so, whether or not earlier requests were answered, and measures latency from that time. A run in which\n" +
			"the generator fell behind its schedule is not valid: load prints the reasons and exits with 5.",
		Example: "  testbed load calm --to 127.0.0.1:7000,127.0.0.1:7001 --rate 500 --length 30s\n" +
			"  testbed load calm --to 127.0.0.1:7000 --closed 16     # a closed loop, for comparison",
		Args: cobra.ExactArgs(1), ValidArgsFunction: completeScenario,
		RunE: func(cmd *cobra.Command, args []string) error {
			return sendLoad(cmd.Context(), cmd.OutOrStdout(), args[0], &flags)
		}}
	flags.add(cmd)
	return cmd
}

// sendLoad sends the load of a scenario and prints its result.
func sendLoad(ctx context.Context, out io.Writer, scenarioName string, flags *loadFlags) error {
	plan, _, err := flags.plan(scenarioName)
	if err != nil {
		return err
	}
	for _, address := range flags.to {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("--to: %q is no host and port", address)
		}
	}
	result, err := loadrunner.Run(ctx, loadrunner.Options{Plan: plan, Addresses: flags.to, Rate: flags.rate, ClosedLoop: flags.closed,
		RecordPath: flags.record, RecordFrom: "testbed load " + scenarioName, ReplayPath: flags.replay, ReplaySpeed: flags.speed,
		OnReplayError: func(err error) { fmt.Fprintln(os.Stderr, "testbed:", err) }})
	if err != nil {
		return exit.With(exitFailed, err)
	}
	if err := clients.WriteClasses(out, result.Classes); err != nil {
		return exit.With(exitFailed, err)
	}
	if err := result.Generator.Write(out); err != nil {
		return exit.With(exitFailed, err)
	}
	switch reasons := result.Generator.Invalid(); {
	case ctx.Err() != nil:
		return context.Canceled
	case len(reasons) > 0:
		return exit.With(exitInvalid, errors.New("the run is not valid: "+strings.Join(reasons, "; ")))
	}
	return nil
}
