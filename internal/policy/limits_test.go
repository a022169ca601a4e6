package policy

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// Limits for the source files of this package and of its sub-packages.
const (
	maxFileLines  = 400
	maxColumns    = 120
	tabCharacters = 4
)

// TestSourceFilesStayShort checks that no file other than a test is too long, or has lines too wide, for a newcomer to
// read.
func TestSourceFilesStayShort(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		checked++
		checkFileLimits(t, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 6 { // this package and its five sub-packages have at least one file each
		t.Errorf("%d files checked, want at least 6", checked)
	}
}

// checkFileLimits fails the test for each limit that the file exceeds.
func checkFileLimits(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	if len(lines) > maxFileLines {
		t.Errorf("%s has %d lines, want at most %d", path, len(lines), maxFileLines)
	}
	for i, line := range lines {
		wide := strings.ReplaceAll(line, "\t", strings.Repeat(" ", tabCharacters))
		if got := utf8.RuneCountInString(wide); got > maxColumns {
			t.Errorf("%s:%d has %d characters, want at most %d", path, i+1, got, maxColumns)
		}
	}
}
