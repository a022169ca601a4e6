// Package agent runs the agreement on who may go out of service inside a node: one goroutine owns the core, a bounded
// queue leads to it, and a Unix socket takes the operators' calls. It decides nothing.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"shelfproxy/internal/logs"
	"shelfproxy/internal/rollout"
)

// Options are what an agent is made of.
type Options struct {
	Core    rollout.Config
	Control string                          // path of the Unix socket for operators; empty for none
	Send    func(to int, data []byte) error // to one node, by its number
	Go      func()                          // ends the node; called once, when the fleet lets it go
	Served  func() rollout.Served           // of the node, since its start
	Note    func(kind rollout.NoteKind)     // counts
	Log     *slog.Logger
}

const (
	queueLength = 1024
	longestCall = 4 << 10
)

// Agent is one node's part in the agreement.
type Agent struct {
	opt   Options
	core  *rollout.Core
	queue chan func()
	start time.Time
	gone  bool

	told rollout.Served // to the core
}

// New makes an agent; Run serves it.
func New(opt Options) (*Agent, error) {
	core, err := rollout.New(opt.Core)
	if err != nil {
		return nil, err
	}
	return &Agent{opt: opt, core: core, queue: make(chan func(), queueLength), start: time.Now()}, nil
}

// Heard hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Heard(from int, data []byte) { a.post(rollout.Heard{From: from, Data: data}) }

// Post tells the core something. It never waits.
func (a *Agent) Post(ev rollout.Event) { a.post(ev) }

func (a *Agent) post(ev rollout.Event) bool {
	select {
	case a.queue <- func() { a.step(ev) }:
		return true
	default:
		return false
	}
}

// Run owns the core until stop is closed.
func (a *Agent) Run(stop <-chan struct{}) {
	tick := time.NewTicker(a.opt.Core.Beacon / 4)
	defer tick.Stop()
	for {
		select {
		case f := <-a.queue:
			f()
		case <-tick.C:
			if a.opt.Served != nil {
				if s := a.opt.Served(); s.Answers > a.told.Answers {
					a.step(rollout.Served{Answers: s.Answers - a.told.Answers, Failed: s.Failed - a.told.Failed, Slow: s.Slow - a.told.Slow})
					a.told = s
				}
			}
			a.step(rollout.Tick{})
		case <-stop:
			return
		}
	}
}

func (a *Agent) now() rollout.Time { return time.Since(a.start) }

func (a *Agent) step(ev rollout.Event) {
	for _, e := range a.core.Step(a.now(), ev) {
		a.do(e)
	}
}

func (a *Agent) do(e rollout.Effect) {
	switch e := e.(type) {
	case rollout.Send:
		for to := range a.opt.Core.Nodes {
			if to != a.opt.Core.Self && (e.To == rollout.All || e.To == to) {
				a.opt.Send(to, e.Data) // one that cannot be sent is lost
			}
		}
	case rollout.Go:
		// This process may have been stopped since the core decided: it is asked again, at the moment of the deed.
		if a.gone || !a.core.MayGo(a.now()) {
			return
		}
		a.gone = true
		a.step(rollout.Going{})
		a.opt.Go()
	case rollout.Note:
		a.opt.Note(e.Kind)
		level := slog.LevelInfo
		switch e.Kind {
		case rollout.NoteAsked, rollout.NoteGaveUp, rollout.NoteGarbled:
			level = slog.LevelDebug
		case rollout.NoteHalted, rollout.NoteBroken, rollout.NoteExpired:
			level = slog.LevelWarn
		}
		a.opt.Log.Log(context.Background(), level, "the fleet's agreement on who is out", logs.Event, "rollout_"+e.Kind.String(), "node", e.Node, "slot", e.Slot, "reason", e.Reason.String())
	}
}

// Status is the agreement as this node sees it.
func (a *Agent) Status() rollout.Status {
	got := make(chan rollout.Status, 1)
	a.queue <- func() { got <- a.core.Status(a.now()) }
	return <-got
}

// Serve takes operators' calls until stop is closed: GET /status, and POST /drain, /halt, /resume and /roll?to=RELEASE.
// The socket's folder decides who may call.
func (a *Agent) Serve(stop <-chan struct{}) error {
	if a.opt.Control == "" {
		return nil
	}
	if c, err := net.Dial("unix", a.opt.Control); err == nil { // of a process before, and nobody answers there
		c.Close()
	} else {
		os.Remove(a.opt.Control)
	}
	ln, err := net.Listen("unix", a.opt.Control)
	if err != nil {
		return err
	}
	calls := map[string]func(*http.Request) (rollout.Event, error){
		"/drain":  func(*http.Request) (rollout.Event, error) { return rollout.Leave{}, nil },
		"/halt":   func(*http.Request) (rollout.Event, error) { return rollout.Halt{}, nil },
		"/resume": func(*http.Request) (rollout.Event, error) { return rollout.Resume{}, nil },
		"/roll": func(q *http.Request) (rollout.Event, error) {
			to := q.URL.Query().Get("to")
			if to == "" {
				return nil, errors.New("to: which release?")
			}
			return rollout.Roll{Release: to}, nil
		},
	}
	server := &http.Server{ReadTimeout: time.Second, WriteTimeout: 2 * time.Second, MaxHeaderBytes: longestCall,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			call := calls[q.URL.Path]
			switch {
			case call != nil && q.Method == http.MethodPost:
				ev, err := call(q)
				if err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
				if !a.post(ev) {
					http.Error(w, "busy", http.StatusServiceUnavailable)
					return
				}
			case q.URL.Path != "/status" || q.Method != http.MethodGet:
				http.Error(w, "no such call", http.StatusNotFound)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(a.Status())
		})}
	go func() {
		<-stop
		server.Close()
	}()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
