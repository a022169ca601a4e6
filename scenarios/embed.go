// Package scenarios contains the scenarios that are built into the testbed.
package scenarios

import (
	"embed"
	"io/fs"
	"strings"
)

// extension is the file name extension of scenario files.
const extension = ".toml"

//go:embed *.toml
var files embed.FS

// Names returns the names of the built-in scenarios in alphabetical order.
func Names() []string {
	paths, _ := fs.Glob(files, "*"+extension) // fails only for a malformed pattern
	var names []string
	for _, path := range paths {
		names = append(names, strings.TrimSuffix(path, extension))
	}
	return names
}

// Text returns the text of the built-in scenario with the given name. It returns false if there is none.
func Text(name string) (text []byte, ok bool) {
	text, err := files.ReadFile(name + extension)
	return text, err == nil
}
