// Command testbed emulates the portal that nodes serve, on loopback: cache servers, the origin, discovery, the network
// between them and faults. It also sends loads and simulates fleets on a virtual clock. See docs/testbed.md.
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
	"shelfproxy/scenarios"
)

// Exit codes, for scripts.
const (
	exitFailed      = 1   // the run could not be carried out
	exitScenario    = 2   // the scenario is invalid
	exitInvariant   = 3   // the run was carried out and an invariant was violated
	exitPort        = 4   // a port of the command line is taken
	exitInvalid     = 5   // the load generator fell behind: its figures are not to be believed
	exitUsage       = 64  // the command line is invalid
	exitInterrupted = 130 // ended by Ctrl-C, everything stopped
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	code := exitCode(err)
	if code != exitInterrupted {
		fmt.Fprintln(os.Stderr, "testbed:", err)
	}
	os.Exit(code)
}

// exitCode returns the code that the program ends with after an error.
func exitCode(err error) int {
	var portTaken *emulator.PortTakenError
	switch {
	case errors.As(err, &portTaken):
		return exitPort
	case errors.Is(err, context.Canceled):
		return exitInterrupted
	}
	return exit.Code(err, exitUsage)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "testbed",
		Short: "An emulated portal for shelfproxy, on loopback",
		Long: "testbed plays the portal that shelfproxy nodes serve: cache servers, the origin, discovery, the network\n" +
			"between them and faults, all on loopback and checked against the invariants of the service.\n" +
			"Scenarios are files, or names of those that are shipped: " + strings.Join(scenarios.Names(), ", ") + ".\n\n" +
			"Exit codes: 0 no fault found, 1 the run failed, 2 the scenario is invalid, 3 an invariant was violated,\n" +
			"4 a port is taken, 5 the load generator fell behind, 64 the command line is invalid, 130 interrupted.",
		Example: "  testbed demo\n  testbed demo rush --seed 7\n  testbed check my.toml\n" +
			"  testbed emulate deploy --dir run --base-port 7000",
		Version: version(), SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(overheadCommands()...)
	root.AddCommand(demoCommand(), emulateCommand(), simulateCommand(), loadCommand(), traceCommand(), checkCommand(), listCommand())
	return root
}

// revisionLength is how much of the revision a version shows.
const revisionLength = 12

// version describes the build, from what the tool chain recorded in it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(revisionLength, len(setting.Value))] + " " + info.GoVersion
		}
	}
	return "devel " + info.GoVersion
}
