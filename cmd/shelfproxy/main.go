// Command shelfproxy is one node between clients, cache servers and an origin. See the README.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"shelfproxy/internal/config"
	"shelfproxy/internal/exit"
)

// Exit codes, for scripts.
const (
	exitFailed = 1 // the node could not start or go on
	exitConfig = 2 // the configuration is no good
	exitUsage  = 64
)

func main() {
	if err := command().Execute(); err != nil {
		// One line, whatever went wrong: on the platform the log is all there is to see.
		fmt.Fprintln(os.Stderr, "shelfproxy:", err)
		os.Exit(exit.Code(err, exitUsage))
	}
}

func command() *cobra.Command {
	var file string
	load := func() (*config.Config, error) {
		cfg, err := config.Load(os.Getenv, file)
		return cfg, exit.With(exitConfig, err)
	}
	start := func(*cobra.Command, []string) error {
		cfg, err := load()
		if err != nil {
			return err
		}
		return exit.With(exitFailed, run(cfg, file))
	}
	root := &cobra.Command{
		Use:   "shelfproxy",
		Short: "A node between the clients of a portal, its cache servers and one slow origin",
		Long: "shelfproxy is a node between the clients of a portal, its cache servers and one slow origin.\n" +
			"Without a verb it runs the node. LB_CONFIG names the platform's configuration, --file or\n" +
			config.FileVariable + " the operator's own; see docs/operating.md.",
		Example: "  LB_CONFIG=config.json shelfproxy\n  shelfproxy run --file deploy/operator.toml\n" +
			"  shelfproxy config show --file deploy/operator.toml",
		Version: version(), Args: cobra.NoArgs, RunE: start, SilenceUsage: true, SilenceErrors: true,
	}
	root.PersistentFlags().StringVarP(&file, "file", "f", "", "the operator's file (TOML)")
	root.AddCommand(&cobra.Command{Use: "run", Short: "Run the node (also what no verb means)", Args: cobra.NoArgs, RunE: start})
	root.AddCommand(&cobra.Command{Use: "check", Short: "Read the configuration and say whether it is good", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := load(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "configuration is good")
			return nil
		}})
	root.AddCommand(&cobra.Command{Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "shelfproxy", version()) }})
	conf := &cobra.Command{Use: "config", Short: "Look at the configuration"}
	conf.AddCommand(&cobra.Command{Use: "show", Short: "List every value in force and where it came from", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, s := range cfg.Show() {
				fmt.Fprintf(w, "%s\t%s\t%s\n", s.Field, s.Value, s.From)
			}
			return w.Flush()
		}})
	root.AddCommand(conf)
	root.AddCommand(ctl(load), fleet())
	return root
}

// version is the revision that the program was built from, as far as the build knows it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v = s.Value[:min(12, len(s.Value))]
		}
	}
	if v == "" || v == "(devel)" {
		v = "devel"
	}
	return v + " " + info.GoVersion
}
