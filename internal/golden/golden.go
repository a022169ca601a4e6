// Package golden compares what the program writes with files that an earlier release wrote. The files under testdata stand
// for the outside of the program: bytes on the wire, files that are read again, answers to operators. They are written
// once and do not change afterwards; a test that differs from its file has found a change in behaviour.
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

// createVariable lets Check write a file that does not exist yet. A file that exists is never written again.
const createVariable = "GOLDEN_CREATE"

// Check compares got with the file testdata/name of the package under test.
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

// Read returns the golden file testdata/name, to be fed to the code that reads it.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatalf("golden file: %v", err)
	}
	return content
}

// Lines collects named records, one a line, as the text of a golden file.
type Lines struct{ text strings.Builder }

// Text adds a record whose content is readable.
func (l *Lines) Text(name, content string) {
	l.text.WriteString(name + ": " + content + "\n")
}

// Hex adds a record of binary content.
func (l *Lines) Hex(name string, content []byte) { l.Text(name, hex.EncodeToString(content)) }

// Bytes is the text collected so far.
func (l *Lines) Bytes() []byte { return []byte(l.text.String()) }

// Hex reads back the record of that name from the text of a golden file.
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

// firstDifference names the first line in which two texts differ.
func firstDifference(got, want string) string {
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i, line := range gotLines {
		if i >= len(wantLines) {
			return "got the further line " + line
		}
		if line != wantLines[i] {
			return "got line " + line + ", want " + wantLines[i]
		}
	}
	return "want the further line " + wantLines[len(gotLines)]
}
