// Command testbed plays the portal that nodes serve: cache boxes, the origin, discovery, the network between them
// and what goes wrong, all on loopback. See docs/lab.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/scenarios"
)

// Exit codes, for scripts.
const (
	exitFailed      = 1   // the run could not be carried out
	exitScenario    = 2   // the scenario is no good
	exitRules       = 3   // the run was carried out and a rule was broken
	exitPort        = 4   // a port that was asked for is taken
	exitInvalid     = 5   // the load generator fell behind: its figures are not to be believed
	exitUsage       = 64  // the command line is no good
	exitInterrupted = 130 // ended by Ctrl-C, everything stopped
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().ExecuteContext(ctx)
	if err == nil {
		return
	}
	code := exit.Code(err, exitUsage)
	var port *emulator.PortTakenError
	switch {
	case errors.As(err, &port):
		code = exitPort
	case errors.Is(err, context.Canceled):
		code = exitInterrupted
	}
	if code != exitInterrupted {
		fmt.Fprintln(os.Stderr, "testbed:", err)
	}
	os.Exit(code)
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "testbed",
		Short: "An emulated portal for shelfproxy, on loopback",
		Long: "testbed plays the portal that shelfproxy nodes serve: cache boxes, the origin, discovery, the network\n" +
			"between them and what goes wrong, all on loopback and checked against the rules of the service.\n" +
			"Scenarios are files, or names of those that are shipped: " + strings.Join(scenarios.Names(), ", ") + ".\n\n" +
			"Exit codes: 0 all well, 1 the run failed, 2 the scenario is no good, 3 a rule was broken,\n" +
			"4 a port is taken, 5 the generator fell behind, 64 the command line is no good, 130 interrupted.",
		Example: "  testbed demo\n  testbed demo rush --seed 7\n  testbed check my.toml\n" +
			"  testbed emulate deploy --dir run --base-port 7000",
		Version: version(), SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(overheadCommands()...)
	root.AddCommand(demoCommand(), emulateCommand(), simulateCommand(), loadCommand(), traceCommand(), checkCommand(), listCommand())
	return root
}

// readScenario reads a scenario by the name of one that is shipped, or from a file.
func readScenario(name string) (*scenario.Scenario, error) {
	if text, ok := scenarios.Text(name); ok {
		s, err := scenario.Parse(name+".toml", text)
		return s, exit.With(exitScenario, err)
	}
	s, err := scenario.Read(name)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(name, "/.") {
		err = fmt.Errorf("there is no scenario %q; shipped are %s", name, strings.Join(scenarios.Names(), ", "))
	}
	return s, exit.With(exitScenario, err)
}

// names completes the names of shipped scenarios; files are left to the shell.
func names(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return scenarios.Names(), cobra.ShellCompDirectiveDefault
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the scenarios that are shipped", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, n := range scenarios.Names() {
				s, err := readScenario(n)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%-10s %s\n", n, s.About)
			}
			return nil
		}}
}

func checkCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{Use: "check SCENARIO...", Short: "Read scenarios and say what a seed draws of them",
		Example: "  testbed check my.toml\n  testbed check rush --seed 7", Args: cobra.MinimumNArgs(1), ValidArgsFunction: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, a := range args {
				s, err := readScenario(a)
				if err != nil {
					return err
				}
				p := s.Draw(seed)
				w := cmd.OutOrStdout()
				fmt.Fprintf(w, "%s is good: %s\nseed %d draws %d nodes, %d boxes, up to %.0f requests a second for %s\n", a, s.About, seed,
					len(p.Spec.Nodes), len(p.Spec.CacheServers), p.Peak(), p.Length)
				for _, f := range p.Spec.Faults {
					fmt.Fprintf(w, "  %6.1f s  %s for %.1f s\n", f.At.Seconds(), f.Kind, f.For.Seconds())
				}
			}
			return nil
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "draws the figures that are ranges")
	return cmd
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))] + " " + info.GoVersion
		}
	}
	return "devel " + info.GoVersion
}
