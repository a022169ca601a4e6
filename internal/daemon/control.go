package daemon

import (
	"errors"
	"net/url"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/logs"
)

// controlRetryInterval is how often a control socket that a predecessor serves is tried again.
const controlRetryInterval = 50 * time.Millisecond

// serveControl serves operators' calls at a path until stop is closed. If a predecessor serves them it waits for its end. Without
// the socket the node serves on, as operators have signals as well. It reads no state of the daemon that changes.
func (d *Daemon) serveControl(path string, stop <-chan struct{}) {
	server := control.New(path)
	server.HandleQuery("explain", d.explain)
	d.fleet.registerCalls(server)
	err := server.Serve(stop)
	for isLogged := false; errors.Is(err, control.ErrInUse); err = server.Serve(stop) {
		if !isLogged {
			isLogged = true
			d.log.Warn("waiting for the control socket, which another process serves", logs.Event, "control_taken", "error", err.Error())
		}
		select {
		case <-stop:
			return
		case <-time.After(controlRetryInterval):
		}
	}
	if err != nil {
		d.log.Error("the control socket is not served", logs.Event, "control_failed", "error", err.Error())
	}
}

// explain answers the call explain with where a key is routed at this moment, and why.
func (d *Daemon) explain(query url.Values) (any, error) {
	explanation, ok := d.node.Explain(query.Get("key"))
	if !ok {
		return nil, control.ErrBusy
	}
	return explanation, nil
}
