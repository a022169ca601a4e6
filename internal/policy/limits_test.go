package policy

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestModuleStaysReadable keeps brain.go within what new staff can read: 650 lines that are not blank, of
// 110 characters at most (a tab counts as 4).
func TestModuleStaysReadable(t *testing.T) {
	text, err := os.ReadFile("brain.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); n > 110 {
			t.Errorf("brain.go:%d has %d characters, want at most 110", i+1, n)
		}
	}
	if lines > 650 {
		t.Errorf("brain.go has %d lines that are not blank, want at most 650", lines)
	}
}
