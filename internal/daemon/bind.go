package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"shelfproxy/internal/logs"
)

// A node that was killed is restarted at once with the same address, which its predecessor may not have released yet. So binding an
// address that is in use is retried.
const (
	bindTimeout       = 5 * time.Second // how long binding is retried; this delays no client, as clients connect 30 s after a start at the earliest
	bindRetryInterval = 50 * time.Millisecond
)

// errTerminated is returned if the process was told to terminate before the node was up.
var errTerminated = errors.New("terminated before the node was up")

// bind calls open, and calls it again while the address is in use, for bindTimeout at most. It returns errTerminated if the process
// is told to terminate while bind waits.
func bind[T any](d *Daemon, addr string, terminate <-chan os.Signal, open func() (T, error)) (T, error) {
	isLogged := false
	for deadline := time.Now().Add(bindTimeout); ; {
		opened, err := open()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return opened, err
		}
		if !isLogged {
			isLogged = true
			d.log.Warn("waiting for an address that another process still uses", logs.Event, "address_taken", "address", addr)
		}
		select {
		case <-terminate:
			return opened, errTerminated
		case <-time.After(bindRetryInterval):
		}
	}
}

// listen opens the socket for clients, or returns the socket that the process inherited from a supervisor.
func (d *Daemon) listen(terminate <-chan os.Signal) (net.Listener, error) {
	if inherited := d.parent.Listener; inherited != nil {
		return inherited, d.checkInherited(inherited)
	}
	return bind(d, d.cfg.Listen, terminate, func() (net.Listener, error) {
		return new(net.ListenConfig).Listen(context.Background(), "tcp", d.cfg.Listen) // needs no cancellation: it returns at once
	})
}

// checkInherited returns an error if the port of an inherited socket differs from the configured port.
func (d *Daemon) checkInherited(inherited net.Listener) error {
	_, port, _ := net.SplitHostPort(d.cfg.Listen) // can't fail: the address was validated when the configuration was read
	if strconv.Itoa(inherited.Addr().(*net.TCPAddr).Port) != port {
		return fmt.Errorf("%s is configured, but the inherited socket has the address %s", d.cfg.Listen, inherited.Addr())
	}
	return nil
}
