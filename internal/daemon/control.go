package daemon

import (
	"errors"
	"net/url"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/logs"
)

// controlRetryInterval is the time between two attempts to open a control socket that a predecessor still serves.
const controlRetryInterval = 50 * time.Millisecond

// serveControl serves operators' calls at the control socket at path until stop is closed. If a predecessor still serves the
// socket, serveControl waits until the predecessor has ended. If the socket can't be opened, the node continues without it,
// because operators can use signals as well. serveControl runs in its own goroutine and reads no field of Daemon that changes.
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
		d.log.Error("failed to serve the control socket", logs.Event, "control_failed", "error", err.Error())
	}
}

// explain handles the call "explain": it returns where a key is routed at this moment, and why.
func (d *Daemon) explain(query url.Values) (any, error) {
	explanation, ok := d.node.Explain(query.Get("key"))
	if !ok {
		return nil, control.ErrBusy
	}
	return explanation, nil
}
