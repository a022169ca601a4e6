package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/testbed/demo"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/scenarios"
)

// scenarioFlags are the flags of all commands that run a scenario.
type scenarioFlags struct {
	seed      uint64
	length    time.Duration
	logLevel  string
	logFormat string
}

func (flags *scenarioFlags) add(cmd *cobra.Command) {
	set := cmd.Flags()
	set.Uint64Var(&flags.seed, "seed", 0, "seed that draws values from ranges; 0 uses a random seed")
	set.DurationVar(&flags.length, "length", 0, "duration of the load, instead of the scenario's")
	set.StringVar(&flags.logLevel, "log-level", "warn", "debug, info, warn or error")
	set.StringVar(&flags.logFormat, "log-format", "auto", "auto, text or json")
}

// plan reads a scenario and draws its plan. If no seed is given, it uses a random one.
func (flags *scenarioFlags) plan(name string) (*scenario.Plan, logs.Options, error) {
	level, err := logs.Level(flags.logLevel)
	if err != nil {
		return nil, logs.Options{}, fmt.Errorf("--log-level: %w", err)
	}
	parsed, err := readScenario(name)
	if err != nil {
		return nil, logs.Options{}, err
	}
	if flags.seed == 0 {
		flags.seed = demo.RandomSeed()
	}
	plan := parsed.Draw(flags.seed)
	if flags.length > 0 {
		plan.SetLength(flags.length)
	}
	return plan, logs.Options{Level: level, Format: flags.logFormat}, nil
}

// readScenario reads the built-in scenario with the given name or, if there is none, the file at the path name.
func readScenario(name string) (*scenario.Scenario, error) {
	if text, ok := scenarios.Text(name); ok {
		parsed, err := scenario.Parse(name+".toml", text)
		return parsed, exit.With(exitScenario, err)
	}
	parsed, err := scenario.Read(name)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(name, "/.") {
		err = fmt.Errorf("there is no scenario %q; shipped are %s", name, strings.Join(scenarios.Names(), ", "))
	}
	return parsed, exit.With(exitScenario, err)
}

// completeScenario completes the names of built-in scenarios. The shell completes file names.
func completeScenario(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return scenarios.Names(), cobra.ShellCompDirectiveDefault
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the built-in scenarios", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, name := range scenarios.Names() {
				parsed, err := readScenario(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%-10s %s\n", name, parsed.About)
			}
			return nil
		}}
}

func checkCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{Use: "check SCENARIO...", Short: "Validate scenarios and print the values that a seed draws",
		Example: "  testbed check my.toml\n  testbed check rush --seed 7", Args: cobra.MinimumNArgs(1), ValidArgsFunction: completeScenario,
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, name := range args {
				parsed, err := readScenario(name)
				if err != nil {
					return err
				}
				plan := parsed.Draw(seed)
				out := cmd.OutOrStdout()
				fmt.Fprintf(out, "%s is good: %s\nseed %d draws %d nodes, %d cache servers, up to %.0f requests a second for %s\n", name, parsed.About,
					seed, len(plan.Spec.Nodes), len(plan.Spec.CacheServers), plan.Peak(), plan.Length)
				for _, fault := range plan.Spec.Faults {
					fmt.Fprintf(out, "  %6.1f s  %s for %.1f s\n", fault.At.Seconds(), fault.Kind, fault.For.Seconds())
				}
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed that draws values from ranges")
	return cmd
}
