// Package harness starts the real programs as processes and fakes what they talk to: clients, cache servers, the origin and
// discovery. Everything that it starts is stopped when its test ends, and every wait has a deadline.
//
// Functions and methods that return no error fail the test instead.
package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// Timeout bounds every wait. It is generous, because only failing tests wait that long.
const Timeout = 20 * time.Second

const pollInterval = 2 * time.Millisecond // interval between two checks of a condition

// Paths of the programs that Main has built.
var (
	NodeProgram    string
	TestbedProgram string
)

// Main builds the programs, runs the tests and exits. The programs are built with the race detector if the tests are.
func Main(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// UninstrumentedNodeProgram returns the path of the node's program, built without the race detector. The race detector multiplies
// the memory and the CPU time that a node needs, so tests of these needs use this program.
func UninstrumentedNodeProgram(t testing.TB) string {
	t.Helper()
	if !RaceEnabled {
		return NodeProgram
	}
	path, err := buildUninstrumented()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// buildUninstrumented builds the node's program without the race detector, once, in the same directory as the instrumented one.
var buildUninstrumented = sync.OnceValues(func() (path string, err error) {
	path = NodeProgram + "-uninstrumented"
	return path, build("-o", path, "shelfproxy/cmd/shelfproxy")
})

// build runs go build with the given arguments.
func build(args ...string) error {
	command := exec.CommandContext(context.Background(), "go", append([]string{"build", "-buildvcs=false"}, args...)...)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build the programs: %w: %s", err, output)
	}
	return nil
}

func buildAndRun(m *testing.M) (code int, err error) {
	dir, err := os.MkdirTemp("", "shelfproxy")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary directory that remains does no harm
	NodeProgram, TestbedProgram = filepath.Join(dir, "shelfproxy"), filepath.Join(dir, "testbed")
	args := []string{"-o", dir + "/"}
	if RaceEnabled {
		args = append(args, "-race")
	}
	if err := build(append(args, "shelfproxy/cmd/shelfproxy", "shelfproxy/cmd/testbed")...); err != nil {
		return 0, err
	}
	return m.Run(), nil
}

// WaitFor waits until the condition holds. If the condition does not hold within Timeout, the test fails; its message includes
// what and the logs.
func WaitFor(t testing.TB, what string, condition func() bool, logs ...fmt.Stringer) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			var texts strings.Builder
			for _, log := range logs {
				fmt.Fprintf(&texts, "; log: %s", log)
			}
			t.Fatalf("not within %s: %s%s", Timeout, what, &texts)
		}
	}
}

// LoopbackAddress returns a random loopback address with port 0. Other tests hardly ever listen on or dial from the same address,
// so they do not take an address that this test has released.
func LoopbackAddress() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// Listen listens at an address until the test ends or the listener is closed.
func Listen(t testing.TB, address string) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatalf("listen at %s: %v", address, err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may already have closed the listener
	return listener
}

// ServeConnections calls serve in a goroutine for each connection, until the listener is closed.
func ServeConnections(listener net.Listener, serve func(net.Conn)) {
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
}

// WriteFile writes a file that only its owner may read or write.
func WriteFile(t testing.TB, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatalf("write %s: %v", path, err)
	}
}

// ReadFile returns the content of a file.
func ReadFile(t testing.TB, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read %s: %v", path, err)
	}
	return string(content)
}
