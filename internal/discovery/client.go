package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"shelfproxy/internal/discovery/polling"
)

// AgentCallTimeout bounds a call to a discovery agent. An agent runs on the node's own machine and answers at once with the list
// that it has. An agent that does not answer has to be detected quickly, so that the node soon notices when the
// agent answers again: from that moment on the node counts as notified of changes.
const AgentCallTimeout = 250 * time.Millisecond

const (
	readBufferBytes = 16 << 10             // largest part of a watch's response that is read at once
	minTimerDelay   = 1 * time.Millisecond // shortest time between two checks of a watch's deadline
)

// Source provides endpoint lists. Another discovery service can be supported by another implementation.
type Source interface {
	// Watch reports every change of the endpoint list after a version, until stop is called or the watch breaks. It calls report
	// from a goroutine of its own. Unless the watch was stopped, the last report is an error. stop does not wait: a report may
	// still be in progress when stop returns.
	Watch(after int64, report func(List, error)) (stop func())
}

// Client is the Source for the discovery service at Addr. A WatchState decides what received bytes mean and when a watch times out;
// Client does the I/O and the timing for it. The fields of Client must not change after the first call of Watch. Watch is safe for
// concurrent use.
type Client struct {
	Addr        string
	CallTimeout time.Duration // bounds connecting, and the wait for the response's header; 0 means polling.CallTimeout

	initialize sync.Once
	http       *http.Client
}

// WatchPath returns the request path that opens a watch on the changes after a version of the endpoint list.
func WatchPath(after int64) string {
	return "/discovery/hosts?watch=1&after=" + strconv.FormatInt(after, 10)
}

// Watch opens a watch on a connection of its own. See Source.
//
// The watch's goroutine ends when stop is called, when the connection ends or when the watch times out. stop does not wait for
// the goroutine, because stop is called from the event loop to which report posts.
func (c *Client) Watch(after int64, report func(List, error)) (stop func()) {
	c.initialize.Do(c.newHTTPClient)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		call := newWatchCall(c.CallTimeout, cancel, report)
		defer call.timer.Stop()
		call.run(ctx, c.http, "http://"+c.Addr+WatchPath(after))
	}()
	return cancel
}

func (c *Client) newHTTPClient() {
	if c.CallTimeout == 0 {
		c.CallTimeout = polling.CallTimeout
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:           (&net.Dialer{Timeout: c.CallTimeout}).DialContext,
		DisableKeepAlives:     true,
		ResponseHeaderTimeout: c.CallTimeout,
	}}
}

// watchCall is one watch of a Client. Its goroutine reads the response. Its timer ends the call when the watch times out.
type watchCall struct {
	cancel func()
	report func(List, error)
	timer  *time.Timer

	mu      sync.Mutex // guards the fields below
	state   *WatchState
	timeout error // error with which the timer ended the call; nil if it did not
}

func newWatchCall(callTimeout time.Duration, cancel func(), report func(List, error)) *watchCall {
	call := &watchCall{cancel: cancel, report: report, state: NewWatchState(time.Now(), callTimeout)}
	call.timer = time.AfterFunc(time.Until(call.state.Deadline()), call.checkTimeout)
	return call
}

// checkTimeout is called by the timer. If the watch has timed out, it cancels the context, which interrupts the I/O of the
// watch's goroutine. Otherwise it sets the timer to the new deadline.
func (c *watchCall) checkTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.state.CheckTimeout(time.Now()); err != nil {
		c.timeout = err
		c.cancel()
		return
	}
	c.timer.Reset(max(minTimerDelay, time.Until(c.state.Deadline())))
}

func (c *watchCall) hasTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timeout != nil
}

// withState calls step with the state of the watch, under the lock. If the call has timed out, withState returns the timeout
// error without calling step.
func (c *watchCall) withState(step func(state *WatchState, now time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timeout != nil {
		return c.timeout
	}
	return step(c.state, time.Now())
}

// run makes the call and reports its lists. Then it reports the error that ended the call, unless the call was stopped.
func (c *watchCall) run(ctx context.Context, client *http.Client, url string) {
	err := c.follow(ctx, client, url)
	if wasStopped := ctx.Err() != nil && !c.hasTimedOut(); !wasStopped {
		c.report(List{}, err)
	}
}

// follow makes the call and reports its lists until an error ends the call. It returns that error.
func (c *watchCall) follow(ctx context.Context, client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return c.withState(func(*WatchState, time.Time) error { return err })
	}
	defer func() { _ = response.Body.Close() }() // the watch has already ended with a more useful error
	err = c.withState(func(state *WatchState, now time.Time) error { return state.ResponseReceived(now, response.StatusCode) })
	if err != nil {
		return err
	}
	buffer := make([]byte, readBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		if err := c.bytesRead(buffer[:n], readErr); err != nil {
			return err
		}
	}
}

// bytesRead processes the result of one read of the response's body and reports the lists that the read completed.
func (c *watchCall) bytesRead(data []byte, readErr error) error {
	var lists []List
	err := c.withState(func(state *WatchState, now time.Time) (err error) {
		lists, err = state.BytesReceived(now, data)
		return err
	})
	if err == nil && readErr != nil {
		if errors.Is(readErr, io.EOF) {
			readErr = nil
		}
		err = c.withState(func(state *WatchState, _ time.Time) error { return state.ConnectionEnded(readErr) })
	}
	for _, list := range lists {
		c.report(list, nil)
	}
	return err
}
