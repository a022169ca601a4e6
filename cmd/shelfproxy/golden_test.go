package main

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"shelfproxy/internal/golden"
)

// TestGoldenCommands: the verbs, their arguments and their flags are those of the golden file, so that none of them changes
// unintentionally.
func TestGoldenCommands(t *testing.T) {
	var lines golden.Lines
	var list func(cmd *cobra.Command)
	list = func(cmd *cobra.Command) {
		lines.Text("verb", cmd.CommandPath()+" | "+cmd.Use)
		lines.Text("flags", strings.Join(strings.Fields(cmd.LocalFlags().FlagUsages()), " "))
		for _, sub := range cmd.Commands() {
			list(sub)
		}
	}
	list(rootCommand())
	golden.Check(t, "verbs.golden", lines.Bytes())
}
