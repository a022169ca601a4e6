package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/scenario"
)

// emulateFlags are the flags of the command emulate.
type emulateFlags struct {
	scenarioFlags
	dir, summary, trace string
	basePort            int
}

func (flags *emulateFlags) add(cmd *cobra.Command) {
	flags.scenarioFlags.add(cmd)
	set := cmd.Flags()
	set.StringVar(&flags.dir, "dir", "lab-run", "directory for the nodes' configurations")
	set.IntVar(&flags.basePort, "base-port", 0, "node i listens at this port plus i, its discovery service at this port plus 100 plus i; 0 uses free ports")
	set.StringVar(&flags.summary, "summary", "", "write the summary of the run to this file, as JSON")
	set.StringVar(&flags.trace, "trace", "", "write the model's event log to this file")
}

func emulateCommand() *cobra.Command {
	var flags emulateFlags
	cmd := &cobra.Command{Use: "emulate SCENARIO", Short: "Emulate the system of a scenario until Ctrl-C, for nodes that are started by hand",
		Long: "emulate runs the emulated system of a scenario until Ctrl-C or the end of --length, for nodes that are\n" +
			"started by hand. It writes a configuration for each node to --dir; start one with LB_CONFIG=DIR/n0.json shelfproxy.",
		Example: "  testbed emulate deploy --dir run --base-port 7000\n  LB_CONFIG=run/n0.json shelfproxy",
		Args:    cobra.ExactArgs(1), ValidArgsFunction: completeScenario,
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, logging, err := flags.plan(args[0])
			if err != nil {
				return err
			}
			summary, err := runEmulator(cmd.Context(), cmd.OutOrStdout(), plan, logging, &flags)
			if err != nil {
				return exit.With(exitFailed, err)
			}
			return reportEmulation(cmd.OutOrStdout(), summary, flags.summary)
		}}
	flags.add(cmd)
	return cmd
}

// runEmulator runs the emulator until the context ends or the duration of --length has passed.
func runEmulator(ctx context.Context, out io.Writer, plan *scenario.Plan, logging logs.Options, flags *emulateFlags) (emulator.Summary, error) {
	if err := os.MkdirAll(flags.dir, 0o755); err != nil {
		return emulator.Summary{}, err
	}
	trace, closeTrace, err := openTrace(flags.trace)
	if err != nil {
		return emulator.Summary{}, err
	}
	defer closeTrace()
	emulation, err := emulator.New(plan, emulator.Options{Log: logs.New(os.Stderr, logging), BasePort: flags.basePort, Trace: trace})
	if err != nil {
		return emulator.Summary{}, err
	}
	defer emulation.Close()
	if err := emulation.Start(); err != nil {
		return emulator.Summary{}, err
	}
	configs, err := emulation.WriteConfigs(flags.dir)
	if err != nil {
		return emulator.Summary{}, err
	}
	fmt.Fprintf(out, "emulating %s with seed %d: %d cache servers\n", plan.Name, plan.Seed, len(plan.Spec.CacheServers))
	for _, config := range configs {
		fmt.Fprintf(out, "LB_CONFIG=%s shelfproxy   # listens at %s\n", config.Path, config.Listen)
	}
	fmt.Fprintln(out, "ready; Ctrl-C ends it")
	if flags.length > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, flags.length)
		defer cancel()
	}
	<-ctx.Done()
	return emulation.Summary(), nil
}

// reportEmulation prints the summary and, if path is not empty, writes it to a file. It returns an error if an invariant was
// violated.
func reportEmulation(out io.Writer, summary emulator.Summary, path string) error {
	if path != "" {
		if err := writeJSON(path, summary); err != nil {
			return exit.With(exitFailed, fmt.Errorf("--summary: %w", err))
		}
	}
	fmt.Fprintf(out, "%.1f s: %d connections, %d attempts, %d health checks, %d malformed, event log %016x\n", summary.Length.Seconds(),
		summary.Connections, summary.Requests, summary.HealthChecks, summary.Malformed, summary.Events)
	if len(summary.Violations) == 0 {
		return nil
	}
	for _, violation := range summary.Violations {
		fmt.Fprintln(out, violation)
	}
	return exit.With(exitInvariant, fmt.Errorf("%d invariants were violated", len(summary.Violations)))
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Clean(path), append(text, '\n'), 0o644)
}
