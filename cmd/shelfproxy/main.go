// Command shelfproxy is one node between clients, cache servers and an origin. See the README. This package defines the verbs and
// flags and prints their results; internal/daemon runs the node and internal/supervisor/agent the supervisor.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"shelfproxy/internal/config"
	"shelfproxy/internal/daemon"
	"shelfproxy/internal/exit"
)

// Exit codes of the program, for scripts.
const (
	exitFailed = 1  // the program could not start or go on, or a call failed
	exitConfig = 2  // the configuration is invalid
	exitUsage  = 64 // the command line is invalid
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		// Every error is printed as one line, because on the platform nothing but the log can be seen.
		fmt.Fprintln(os.Stderr, "shelfproxy:", err)
		os.Exit(exit.Code(err, exitUsage))
	}
}

// rootCommand returns the command line of the program. Without a verb the program runs the node.
func rootCommand() *cobra.Command {
	var file string
	load := func() (*config.Config, error) {
		cfg, err := config.Load(os.Getenv, file)
		return cfg, exit.With(exitConfig, err)
	}
	runNode := func(*cobra.Command, []string) error {
		cfg, err := load()
		if err != nil {
			return err
		}
		return exit.With(exitFailed, daemon.Run(cfg, file))
	}
	root := &cobra.Command{
		Use:   "shelfproxy",
		Short: "A node between the clients of a portal, its cache servers and one slow origin",
		Long: "shelfproxy is a node between the clients of a portal, its cache servers and one slow origin.\n" +
			"Without a verb it runs the node. LB_CONFIG names the platform's configuration, --file or\n" +
			config.FileVariable + " the operator's own; see docs/operating.md.",
		Example: "  LB_CONFIG=config.json shelfproxy\n  shelfproxy run --file deploy/operator.toml\n" +
			"  shelfproxy config show --file deploy/operator.toml",
		Version: version(), Args: cobra.NoArgs, RunE: runNode, SilenceUsage: true, SilenceErrors: true,
	}
	root.PersistentFlags().StringVarP(&file, "file", "f", "", "the operator's file (TOML)")
	root.AddCommand(&cobra.Command{Use: "run", Short: "Run the node (also what no verb means)", Args: cobra.NoArgs, RunE: runNode})
	root.AddCommand(checkCommand(load), versionCommand(), configCommand(load), ctlCommand(load), fleetCommand())
	return root
}

// checkCommand returns the check verb, which validates the configuration.
func checkCommand(load func() (*config.Config, error)) *cobra.Command {
	return &cobra.Command{Use: "check", Short: "Read the configuration and say whether it is good", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "configuration is good")
			return nil
		}}
}

// configCommand returns the config verb. "config show" prints the values in force and their sources.
func configCommand(load func() (*config.Config, error)) *cobra.Command {
	show := &cobra.Command{Use: "show", Short: "List every value in force and where it came from", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			const columnGap = 2
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, columnGap, ' ', 0)
			for _, setting := range cfg.Show() {
				fmt.Fprintf(table, "%s\t%s\t%s\n", setting.Field, setting.Value, setting.From)
			}
			return table.Flush()
		}}
	parent := &cobra.Command{Use: "config", Short: "Look at the configuration"}
	parent.AddCommand(show)
	return parent
}

// versionCommand returns the version verb, which prints the version of the build.
func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "shelfproxy", version()) }}
}

// version returns the revision that the program was built from, if the build recorded it, and the version of Go.
func version() string {
	const shortRevision = 12 // length of the printed revision, in characters
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value[:min(shortRevision, len(setting.Value))]
		}
	}
	if revision == "" || revision == "(devel)" {
		revision = "devel"
	}
	return revision + " " + info.GoVersion
}
