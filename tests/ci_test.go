package tests

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed: CI passes over the tests that are listed as failing, says how each ended, and takes no list that is too long or names
// what is no test.
func TestKnownRed(t *testing.T) {
	t.Parallel()
	script, err := filepath.Abs("../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module red\n\ngo 1.26\n",
		"red_test.go": "package red\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fatal(\"as ever\") }\n\nfunc TestGreen(t *testing.T) {}\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(word string) (string, error) {
		cmd := exec.Command("bash", script, word)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	for name, test := range map[string]struct {
		list          string
		pattern, told string // what the words print, or the start of why they fail
		fails         bool
	}{
		"none":       {"", "", "", false},
		"one":        {"TestRed: it is known to; issue 1\n", "^(TestRed)$\n", "known red: TestRed failed", false},
		"mended":     {"TestGreen: it was known to; issue 1\n", "^(TestGreen)$\n", "known red: TestGreen passed", false},
		"two":        {"TestRed: so; issue 1\nTestGreen: so; issue 2", "^(TestRed|TestGreen)$\n", "known red: TestGreen passed", false},
		"no test":    {"TestGone: so; issue 1\n", "there is no test TestGone", "", true},
		"no cause":   {"TestRed\n", "not \"TestName: cause; issue\"", "", true},
		"a fourth":   {strings.Repeat("TestRed: so; issue 1\n", 4), "4 lines, three at most", "", true},
		"empty line": {"TestRed: so; issue 1\n\n", "not \"TestName", "", true},
	} {
		list := filepath.Join(dir, "KNOWN-RED.txt")
		os.Remove(list)
		if test.list != "" {
			if err := os.WriteFile(list, []byte(test.list), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		out, err := run("pattern")
		if (err != nil) != test.fails || !strings.Contains(out, test.pattern) {
			t.Errorf("%s: pattern: %v, %q", name, err, out)
		}
		if test.fails {
			continue
		}
		if out, err := run("run"); err != nil || !strings.Contains(out, test.told) {
			t.Errorf("%s: run: %v, %q", name, err, out)
		}
	}
}
