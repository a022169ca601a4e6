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

// TestGoldenHandover guards against a release whose processes and supervisor no longer work with those of another release. It
// compares the environment variables that a child inherits, the signal, and the notifications that the child writes.
func TestGoldenHandover(t *testing.T) {
	child, err := NewChild(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer child.Discard()
	parent := &Parent{notify: child.Files[1]}
	if err := parent.ReportReady(); err != nil {
		t.Fatal(err)
	}
	if err := parent.ReportResponses(120, 7); err != nil {
		t.Fatal(err)
	}
	child.CloseInherited()
	written, err := io.ReadAll(child.read)
	if err != nil {
		t.Fatal(err)
	}
	var lines golden.Lines
	lines.Text("environment", strings.Join(child.Env, " "))
	lines.Text("files", fmt.Sprint(len(child.Files)))
	lines.Text("replaced", fmt.Sprint(int(ReplacedSignal)))
	lines.Hex("notifications", written)
	golden.Check(t, "handover.golden", lines.Bytes())

	var received []string
	old := golden.Hex(t, golden.Read(t, "handover.golden"), "notifications")
	err = readNotifications(bytes.NewReader(old), func() { received = append(received, "ready") }, func(responses, failed int) {
		received = append(received, fmt.Sprintf("%d responses, %d failed", responses, failed))
	})
	if got, want := strings.Join(received, "; "), "ready; 120 responses, 7 failed"; err != nil || got != want {
		t.Errorf("read %q with error %v, want %q without one", got, err, want)
	}
}

// TestInheritRejectsTwoSocketsAndUnsetsVariables checks that a process accepts only one listening socket, and that it unsets the
// environment variables. Otherwise a child of the process would take the descriptors for its own.
func TestInheritRejectsTwoSocketsAndUnsetsVariables(t *testing.T) {
	t.Setenv("LISTEN_FDS", "2")
	t.Setenv("LISTEN_PID", "")
	t.Setenv("SHELFPROXY_NOTIFY_FD", "")
	_, err := Inherit()
	if err == nil {
		t.Fatal("two sockets were inherited, want an error")
	}
	if value, isSet := os.LookupEnv("LISTEN_FDS"); isSet {
		t.Errorf("LISTEN_FDS is still %q, want it unset for children", value)
	}
	if !strings.Contains(err.Error(), "LISTEN_FDS") {
		t.Errorf("the error %q does not name the variable", err)
	}
}
