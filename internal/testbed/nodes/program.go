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

// FindProgram returns the path of the node's program. If there is one in the folder of the running program, it is used.
// Otherwise FindProgram builds the program into dir, from the module of the working directory.
func FindProgram(ctx context.Context, dir string) (string, error) {
	if self, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(self), programName); isExecutable(beside) {
			return beside, nil
		}
	}
	path := filepath.Join(dir, programName)
	build := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "shelfproxy/cmd/shelfproxy")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("no %s in the folder of this program, and building it failed: %w: %s", programName, err, strings.TrimSpace(string(output)))
	}
	return path, nil
}

func isExecutable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}
