package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"shelfproxy/internal/config"
	"shelfproxy/internal/exit"
)

// callFor bounds an operator's call: the node answers from its own view and waits for no other.
const callFor = 5 * time.Second

// ctl is the verb for the operators of a running node.
func ctl(load func() (*config.Config, error)) *cobra.Command {
	var path string
	c := &cobra.Command{Use: "ctl", Short: "Look at and steer what the nodes of a fleet agree on"}
	c.PersistentFlags().StringVar(&path, "control", "", "the node's socket (rollout.control of the operator's file)")
	verb := func(use, short, method, call string, args cobra.PositionalArgs, query func([]string) url.Values) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, words []string) error {
			at := path
			if at == "" {
				cfg, err := load()
				if err != nil {
					return err
				}
				if at = cfg.Operator.Rollout.Control; at == "" {
					return exit.With(exitConfig, errors.New("rollout.control: not set, and no --control"))
				}
			}
			text, err := callNode(at, method, call, query(words))
			fmt.Fprint(cmd.OutOrStdout(), text)
			return exit.With(exitFailed, err)
		}})
	}
	none := func([]string) url.Values { return nil }
	verb("status", "Say who is out, and why nothing goes on where it does not", http.MethodGet, "/status", cobra.NoArgs, none)
	verb("duties", "Say who does what for all, since when and under which token", http.MethodGet, "/duties", cobra.NoArgs, none)
	verb("members", "Say which nodes of the fleet are there, and since when", http.MethodGet, "/members", cobra.NoArgs, none)
	verb("explain KEY", "Say where a key goes at this moment, and why not elsewhere", http.MethodGet, "/explain", cobra.ExactArgs(1),
		func(words []string) url.Values { return url.Values{"key": words} })
	verb("drain", "Have this node go out when the fleet lets it", http.MethodPost, "/drain", cobra.NoArgs, none)
	verb("halt", "Let no further node go out", http.MethodPost, "/halt", cobra.NoArgs, none)
	verb("resume", "Let nodes go out again after a halt", http.MethodPost, "/resume", cobra.NoArgs, none)
	verb("roll RELEASE", "Have every node of another release go out in its turn; the release before is the way back", http.MethodPost, "/roll",
		cobra.ExactArgs(1), func(words []string) url.Values { return url.Values{"to": words[:1]} })
	verb("instances", "Say what the processes of a supervisor do", http.MethodGet, "/instances", cobra.NoArgs, none)
	verb("stop", "End a supervisor and all its nodes", http.MethodPost, "/stop", cobra.NoArgs, none)
	verb("replace [INSTANCE]", "Have a supervisor replace the processes of one instance, or of all in turn", http.MethodPost, "/replace", cobra.MaximumNArgs(1),
		func(words []string) url.Values {
			if len(words) == 0 {
				return nil
			}
			return url.Values{"instance": words}
		})
	return c
}

// callNode makes one call at a node's socket.
func callNode(path, method, call string, query url.Values) (string, error) {
	client := http.Client{Timeout: callFor, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}}
	req, err := http.NewRequest(method, "http://node"+call+"?"+query.Encode(), nil)
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err == nil && resp.StatusCode != http.StatusOK {
		return "", errors.New(strings.TrimSpace(string(text)))
	}
	return string(text), err
}
