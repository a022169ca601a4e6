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

// A node that was killed is restarted at once at the same address, which its predecessor may not have released yet.
const (
	bindTimeout       = 5 * time.Second // for an address that is in use; clients come 30 s after a start at the earliest
	bindRetryInterval = 50 * time.Millisecond
)

// errTerminated means that the process was told to terminate before the node was up.
var errTerminated = errors.New("terminated before the node was up")

// bind calls open until the address is no longer in use, for bindTimeout at most. It returns errTerminated if the process is told
// to terminate while it waits.
func bind[T any](d *Daemon, addr string, terminate <-chan os.Signal, open func() (T, error)) (T, error) {
	isLogged := false
	for deadline := time.Now().Add(bindTimeout); ; {
		opened, err := open()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return opened, err
		}
		if !isLogged {
			isLogged = true
			d.log.Warn("waiting for an address that another process uses", logs.Event, "address_taken", "address", addr)
		}
		select {
		case <-terminate:
			return opened, errTerminated
		case <-time.After(bindRetryInterval):
		}
	}
}

// listen opens the socket for clients, or takes the one that a supervisor passed.
func (d *Daemon) listen(terminate <-chan os.Signal) (net.Listener, error) {
	if inherited := d.parent.Listener; inherited != nil {
		return inherited, d.checkInherited(inherited)
	}
	return bind(d, d.cfg.Listen, terminate, func() (net.Listener, error) {
		return new(net.ListenConfig).Listen(context.Background(), "tcp", d.cfg.Listen) // returns at once
	})
}

// checkInherited returns an error if an inherited socket has another port than the configuration says.
func (d *Daemon) checkInherited(inherited net.Listener) error {
	_, port, _ := net.SplitHostPort(d.cfg.Listen) // was validated when the configuration was read
	if strconv.Itoa(inherited.Addr().(*net.TCPAddr).Port) != port {
		return fmt.Errorf("%s is configured, and the inherited socket is at %s", d.cfg.Listen, inherited.Addr())
	}
	return nil
}
