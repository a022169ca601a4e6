// Package scenarios holds the scenarios that are part of the testbed.
package scenarios

import (
	"embed"
	"io/fs"
	"strings"
)

// extension is the file name extension of scenarios.
const extension = ".toml"

//go:embed *.toml
var files embed.FS

// Names returns the names of the scenarios in alphabetical order.
func Names() []string {
	paths, _ := fs.Glob(files, "*"+extension) // fails for a malformed pattern only
	var names []string
	for _, path := range paths {
		names = append(names, strings.TrimSuffix(path, extension))
	}
	return names
}

// Text returns the text of a scenario; ok is false if there is none of this name.
func Text(name string) (text []byte, ok bool) {
	text, err := files.ReadFile(name + extension)
	return text, err == nil
}
