package daemon

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"shelfproxy/internal/config"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/supervisor/handover"
)

// testDaemon returns a daemon that has only a log, which is written to out, and a configured address for clients.
func testDaemon(out *bytes.Buffer, listen string) *Daemon {
	d := &Daemon{cfg: &config.Config{}, parent: &handover.Parent{}, log: logs.New(out, logs.Options{})}
	d.cfg.Listen = listen
	return d
}

func TestBindWaitsForAddressInUseAndLogsOnce(t *testing.T) {
	var out bytes.Buffer
	attempts := 0
	got, err := bind(testDaemon(&out, ""), "127.0.0.1:7", nil, func() (string, error) {
		if attempts++; attempts < 3 {
			return "", &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
		}
		return "opened", nil
	})
	if err != nil || got != "opened" || attempts != 3 {
		t.Errorf("bind = %q, %v after %d attempts; want opened, nil after 3", got, err, attempts)
	}
	if lines := strings.Count(out.String(), `"event":"address_taken","address":"127.0.0.1:7"`); lines != 1 {
		t.Errorf("%d records say that the address is in use, want 1: %s", lines, &out)
	}
}

func TestBindReturnsOtherErrorsAtOnce(t *testing.T) {
	var out bytes.Buffer
	attempts := 0
	_, err := bind(testDaemon(&out, ""), "", nil, func() (string, error) {
		attempts++
		return "", syscall.EACCES
	})
	if !errors.Is(err, syscall.EACCES) || attempts != 1 {
		t.Errorf("error %v after %d attempts, want %v after 1", err, attempts, syscall.EACCES)
	}
}

func TestBindEndsWhenTerminated(t *testing.T) {
	var out bytes.Buffer
	terminate := make(chan os.Signal, 1)
	terminate <- syscall.SIGTERM
	_, err := bind(testDaemon(&out, ""), "", terminate, func() (string, error) { return "", syscall.EADDRINUSE })
	if !errors.Is(err, errTerminated) {
		t.Errorf("error %v, want %v", err, errTerminated)
	}
}

func TestInheritedSocketMustHaveTheConfiguredPort(t *testing.T) {
	inherited, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := inherited.Close(); err != nil {
			t.Error(err)
		}
	})
	for listen, isValid := range map[string]bool{inherited.Addr().String(): true, "127.0.0.1:1": false} {
		d := testDaemon(new(bytes.Buffer), listen)
		d.parent.Listener = inherited
		if _, err := d.listen(nil); (err == nil) != isValid {
			t.Errorf("configured %s, inherited %s: error %v, want valid %v", listen, inherited.Addr(), err, isValid)
		}
	}
}
