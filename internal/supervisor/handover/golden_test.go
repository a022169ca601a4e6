package handover

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenHandover: a process of one release and a supervisor of another understand each other: the variables that a
// child inherits, the signal, and the lines that it writes.
func TestGoldenHandover(t *testing.T) {
	child, err := NewChild(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer child.Discard()
	p := &Parent{notify: child.Files[1]}
	if err := p.ReportReady(); err != nil {
		t.Fatal(err)
	}
	if err := p.ReportResponses(120, 7); err != nil {
		t.Fatal(err)
	}
	child.CloseInherited()
	said, err := io.ReadAll(child.read)
	if err != nil {
		t.Fatal(err)
	}
	var lines golden.Lines
	lines.Text("environment", strings.Join(child.Env, " "))
	lines.Text("files", fmt.Sprint(len(child.Files)))
	lines.Text("replaced", fmt.Sprint(int(ReplacedSignal)))
	lines.Hex("notifications", said)
	golden.Check(t, "handover.golden", lines.Bytes())

	var heard []string
	old := golden.Hex(t, golden.Read(t, "handover.golden"), "notifications")
	err = listen(bytes.NewReader(old), func() { heard = append(heard, "ready") }, func(answers, failed int) {
		heard = append(heard, fmt.Sprintf("%d answers, %d failed", answers, failed))
	})
	if got := strings.Join(heard, "; "); err != nil || got != "ready; 120 answers, 7 failed" {
		t.Errorf("read as %q, %v", got, err)
	}
}

// TestInheritOneSocketOnly: a process takes one listening socket, and passes the variables to no child of its own.
func TestInheritOneSocketOnly(t *testing.T) {
	t.Setenv("LISTEN_FDS", "2")
	t.Setenv("LISTEN_PID", "")
	t.Setenv("SHELFPROXY_NOTIFY_FD", "")
	_, err := Inherit()
	if err == nil {
		t.Fatal("two sockets were taken")
	}
	if _, left := os.LookupEnv("LISTEN_FDS"); left {
		t.Error("the variable is passed on to children")
	}
	if !strings.Contains(err.Error(), "LISTEN_FDS") {
		t.Errorf("the error %q does not name the variable", err)
	}
}
