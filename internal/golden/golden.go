// Package golden compares what the program writes with golden files that an earlier release wrote. The golden files under testdata
// hold what others see of the program: bytes on the wire, files that are read again, answers to operators. They are written once
// and never change. A test whose result differs from its golden file has found a change in behaviour.
package golden

import (
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// createVariable is the environment variable that, if it is set, lets Check create a golden file that does not exist. An existing
// file is never overwritten.
const createVariable = "GOLDEN_CREATE"

// Check fails the test if got differs from the golden file testdata/name of the package under test.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(createVariable) != "" {
		create(t, path, got)
		return
	}
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	if string(want) != string(got) {
		t.Errorf("%s differs: %s", path, firstDifference(string(got), string(want)))
	}
}

// Read returns the content of the golden file testdata/name, as input for the code that reads such data.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	return content
}

// Lines collects named records, one per line, as the text of a golden file.
type Lines struct{ text strings.Builder }

// Text adds a record with printable content.
func (l *Lines) Text(name, content string) {
	l.text.WriteString(name + ": " + content + "\n")
}

// Hex adds a record with binary content, in hexadecimal.
func (l *Lines) Hex(name string, content []byte) { l.Text(name, hex.EncodeToString(content)) }

// Bytes returns the text collected so far.
func (l *Lines) Bytes() []byte { return []byte(l.text.String()) }

// Hex returns the binary content of a record that Lines.Hex wrote, given the text of a golden file and the record's name.
func Hex(t *testing.T, file []byte, name string) []byte {
	t.Helper()
	for line := range strings.Lines(string(file)) {
		field, content, found := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		if !found || field != name {
			continue
		}
		decoded, err := hex.DecodeString(content)
		if err != nil {
			t.Fatalf("golden record %s: %v", name, err)
		}
		return decoded
	}
	t.Fatalf("golden record %s: missing", name)
	return nil
}

func create(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
	t.Logf("%s created", path)
}

// firstDifference describes the first line in which two texts differ.
func firstDifference(got, want string) string {
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i, line := range gotLines {
		if i >= len(wantLines) {
			return "got the additional line " + line
		}
		if line != wantLines[i] {
			return "got line " + line + ", want " + wantLines[i]
		}
	}
	return "want the additional line " + wantLines[len(gotLines)]
}
