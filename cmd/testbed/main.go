// Command testbed emulates the system around nodes on loopback: cache servers, the origin, discovery, the network between
// them, and faults. It also sends loads and simulates fleets on a virtual clock. See docs/testbed.md.
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
	exitFailed      = 1   // the run could not be completed
	exitScenario    = 2   // the scenario is invalid
	exitInvariant   = 3   // the run was completed and an invariant was violated
	exitPort        = 4   // a port that the command line requires is in use
	exitInvalid     = 5   // the load generator fell behind its schedule, so the measured latencies are not valid
	exitUsage       = 64  // the command line is invalid
	exitInterrupted = 130 // Ctrl-C or SIGTERM ended the run, and all processes were stopped
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

// exitCode returns the exit code of the program for an error.
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
		Short: "Emulate the system around shelfproxy nodes, on loopback",
		Long: "testbed emulates the system around shelfproxy nodes: cache servers, the origin, discovery, the network\n" +
			"between them and faults, all on loopback. It checks every run against the invariants of the service.\n" +
			"A scenario is a file, or the name of a built-in scenario: " + strings.Join(scenarios.Names(), ", ") + ".\n\n" +
			"Exit codes: 0 no violation found, 1 the run failed, 2 the scenario is invalid, 3 an invariant was violated,\n" +
			"4 a port is in use, 5 the load generator fell behind, 64 the command line is invalid, 130 interrupted.",
		Example: "  testbed demo\n  testbed demo rush --seed 7\n  testbed check my.toml\n" +
			"  testbed emulate deploy --dir run --base-port 7000",
		Version: version(), SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(overheadCommands()...)
	root.AddCommand(demoCommand(), emulateCommand(), simulateCommand(), loadCommand(), traceCommand(), checkCommand(), listCommand())
	return root
}

// revisionLength is the number of characters of the VCS revision that the version shows.
const revisionLength = 12

// version describes the build: the VCS revision, if the Go toolchain recorded it, and the version of Go.
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
