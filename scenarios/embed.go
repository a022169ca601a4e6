// Package scenarios holds the scenarios that are shipped with the lab.
package scenarios

import (
	"embed"
	"io/fs"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names are the shipped scenarios, in the order of the alphabet.
func Names() []string {
	var out []string
	all, _ := fs.Glob(files, "*.toml")
	for _, f := range all {
		out = append(out, strings.TrimSuffix(f, ".toml"))
	}
	return out
}

// Text is the text of a shipped scenario.
func Text(name string) ([]byte, bool) {
	b, err := files.ReadFile(name + ".toml")
	return b, err == nil
}
