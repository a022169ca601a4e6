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

// Source is where lists come from. A watch in the manner of another service can take its place.
type Source interface {
	// Watch reports every change after a version until stop is called; then, or when it breaks, it ends. Its
	// last report is an error unless it was stopped.
	Watch(after int64, report func(List, error)) (stop func())
}

// Client speaks to the discovery service at Addr. It moves bytes; a Follower decides.
type Client struct {
	Addr        string
	CallTimeout time.Duration // a call is to be answered in; 0 is asking.CallWithin
	once        sync.Once
	http        *http.Client
}

// AgentCallTimeout is how long a call of an agent may be unanswered. It is on the node's own machine and answers at once with what it
// has; where it is silent it has to be found quickly when it no longer is, as what it gets then counts as told.
const AgentCallTimeout = 250 * time.Millisecond

// WatchPath is that of the call for a watch on what changes after a version.
func WatchPath(after int64) string {
	return "/discovery/hosts?watch=1&after=" + strconv.FormatInt(after, 10)
}

// Watch opens a watch of its own connection.
func (c *Client) Watch(after int64, report func(List, error)) (stop func()) {
	c.once.Do(func() {
		if c.CallTimeout == 0 {
			c.CallTimeout = polling.CallTimeout
		}
		c.http = &http.Client{Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: c.CallTimeout}).DialContext,
			DisableKeepAlives: true, ResponseHeaderTimeout: c.CallTimeout}}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		w := &watch{follower: NewWatchState(time.Now(), c.CallTimeout), cancel: cancel, report: report}
		w.timer = time.AfterFunc(time.Until(w.follower.Deadline()), w.due)
		defer w.timer.Stop()
		err := w.follow(ctx, c.http, "http://"+c.Addr+WatchPath(after))
		if err != nil && (ctx.Err() == nil || w.silent()) {
			report(List{}, err)
		}
	}()
	return cancel
}

// chunk is how much of a watch is read at once.
const chunk = 16 << 10

// watch is the shell round one follower.
type watch struct {
	mu       sync.Mutex
	follower *WatchState
	over     error // why the follower ended it while the shell waited
	timer    *time.Timer
	cancel   func()
	report   func(List, error)
}

// due ends the call where the follower gives it up: whatever the shell waits for breaks.
func (w *watch) due() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.follower.CheckTimeout(time.Now()); err != nil {
		w.over = err
		w.cancel()
		return
	}
	w.timer.Reset(max(time.Millisecond, time.Until(w.follower.Deadline())))
}

func (w *watch) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over != nil
}

// step makes one call of the follower; what ended it before goes first.
func (w *watch) step(f func(now time.Time) ([]List, error)) ([]List, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over != nil {
		return nil, w.over
	}
	return f(time.Now())
}

func (w *watch) follow(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		_, err = w.step(func(time.Time) ([]List, error) { return nil, err })
		return err
	}
	defer resp.Body.Close()
	if _, err := w.step(func(now time.Time) ([]List, error) { return nil, w.follower.ResponseReceived(now, resp.StatusCode) }); err != nil {
		return err
	}
	buf := make([]byte, chunk)
	for {
		n, broke := resp.Body.Read(buf)
		lists, err := w.step(func(now time.Time) ([]List, error) { return w.follower.BytesReceived(now, buf[:n]) })
		if err == nil && broke != nil {
			if errors.Is(broke, io.EOF) {
				broke = nil
			}
			_, err = w.step(func(time.Time) ([]List, error) { return nil, w.follower.ConnectionEnded(broke) })
		}
		for _, l := range lists {
			w.report(l, nil)
		}
		if err != nil {
			return err
		}
	}
}
