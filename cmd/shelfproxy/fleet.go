package main

import (
	"github.com/spf13/cobra"

	"shelfproxy/internal/exit"
	"shelfproxy/internal/supervisor/agent"
	"shelfproxy/internal/supervisor/settings"
)

// fleetCommand returns the fleet verb, which runs many nodes under a supervisor.
func fleetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "fleet FILE",
		Short: "Run many nodes on this machine, start them again, and replace them without a gap",
		Long: "fleet runs the nodes that FILE (TOML) describes. It keeps their listening sockets, so that a node which is replaced or\n" +
			"crashes refuses no connection. SIGHUP goes to all nodes; SIGTERM ends them and it. See docs/supervise.md.",
		Example: "  shelfproxy fleet deploy/machine.toml\n  shelfproxy ctl --control run/fleet instances\n  shelfproxy ctl --control run/fleet replace",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			file, err := settings.Read(args[0])
			if err != nil {
				return exit.With(exitConfig, err)
			}
			return exit.With(exitFailed, agent.Run(file))
		},
	}
}
