package nodes

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const programName = "shelfproxy"

// FindProgram returns the path of the node's program: the one beside the program that runs, or else one that it builds
// into dir from the sources around the working directory.
func FindProgram(ctx context.Context, dir string) (string, error) {
	if self, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(self), programName); isExecutable(beside) {
			return beside, nil
		}
	}
	path := filepath.Join(dir, programName)
	build := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "shelfproxy/cmd/shelfproxy")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("no %s beside this program, and it could not be built: %w: %s", programName, err, strings.TrimSpace(string(output)))
	}
	return path, nil
}

func isExecutable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}
