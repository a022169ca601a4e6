package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"

	"github.com/spf13/cobra"

	"shelfproxy/internal/config"
	"shelfproxy/internal/control"
	"shelfproxy/internal/exit"
)

// ctlVerb is a verb of "shelfproxy ctl". It makes one call to the control socket of a node or a supervisor.
type ctlVerb struct {
	use, short string
	call       string // name of the call
	send       func(ctx context.Context, path, call string, query url.Values) (string, error)
	args       cobra.PositionalArgs
	query      func(args []string) url.Values // converts the arguments to the parameters of the call; nil if the call has no parameters
}

var ctlVerbs = []ctlVerb{
	{use: "status", short: "Say who is out, and why nothing goes on where it does not",
		call: "status", send: control.Query, args: cobra.NoArgs},
	{use: "duties", short: "Say who does what for all, since when and under which token",
		call: "duties", send: control.Query, args: cobra.NoArgs},
	{use: "members", short: "Say which nodes of the fleet are there, and since when",
		call: "members", send: control.Query, args: cobra.NoArgs},
	{use: "explain KEY", short: "Say where a key goes at this moment, and why not elsewhere",
		call: "explain", send: control.Query, args: cobra.ExactArgs(1), query: argument("key")},
	{use: "drain", short: "Have this node go out when the fleet lets it",
		call: "drain", send: control.Command, args: cobra.NoArgs},
	{use: "halt", short: "Let no further node go out",
		call: "halt", send: control.Command, args: cobra.NoArgs},
	{use: "resume", short: "Let nodes go out again after a halt",
		call: "resume", send: control.Command, args: cobra.NoArgs},
	{use: "roll RELEASE", short: "Have every node of another release go out in its turn; the release before is the way back",
		call: "roll", send: control.Command, args: cobra.ExactArgs(1), query: argument("to")},
	{use: "instances", short: "Say what the processes of a supervisor do",
		call: "instances", send: control.Query, args: cobra.NoArgs},
	{use: "stop", short: "End a supervisor and all its nodes",
		call: "stop", send: control.Command, args: cobra.NoArgs},
	{use: "replace [INSTANCE]", short: "Have a supervisor replace the processes of one instance, or of all in turn",
		call: "replace", send: control.Command, args: cobra.MaximumNArgs(1), query: argument("instance")},
}

// argument returns a function that passes a verb's argument, if there is one, as this parameter of the call.
func argument(parameter string) func(args []string) url.Values {
	return func(args []string) url.Values {
		if len(args) == 0 {
			return nil
		}
		return url.Values{parameter: args}
	}
}

// ctlCommand returns the ctl verb, by which operators query and control a running node or supervisor.
func ctlCommand(load func() (*config.Config, error)) *cobra.Command {
	var path string
	ctl := &cobra.Command{Use: "ctl", Short: "Look at and steer what the nodes of a fleet agree on"}
	ctl.PersistentFlags().StringVar(&path, "control", "", "the node's socket (rollout.control of the operator's file)")
	for _, verb := range ctlVerbs {
		ctl.AddCommand(&cobra.Command{Use: verb.use, Short: verb.short, Args: verb.args, RunE: func(cmd *cobra.Command, args []string) error {
			socket, err := controlSocket(path, load)
			if err != nil {
				return err
			}
			var query url.Values
			if verb.query != nil {
				query = verb.query(args)
			}
			answer, err := verb.send(cmd.Context(), socket, verb.call, query)
			fmt.Fprint(cmd.OutOrStdout(), answer)
			return exit.With(exitFailed, err)
		}})
	}
	return ctl
}

// controlSocket returns the path that the --control flag gives, or else the path in the configuration.
func controlSocket(flag string, load func() (*config.Config, error)) (string, error) {
	if flag != "" {
		return flag, nil
	}
	cfg, err := load()
	if err != nil {
		return "", err
	}
	if cfg.Operator.Rollout.Control == "" {
		return "", exit.With(exitConfig, errors.New("rollout.control: not set, and no --control"))
	}
	return cfg.Operator.Rollout.Control, nil
}
