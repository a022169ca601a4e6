package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/faultproxy"
	"shelfproxy/internal/testbed/invariants"
)

// Rollout has the whole fleet go to another release by its own agreement, under the load, while the datagrams between its nodes
// meet faults.
type Rollout struct {
	Budget int // nodes out at once
	Faults faultproxy.Faults
	Stall  time.Duration // the first node that may go is stopped for so long at that moment
	After  time.Duration // into the load
}

// RolloutResult is what a roll came to.
type RolloutResult struct {
	Most       int           // nodes out at once by agreement
	Took       time.Duration // from the order until every node ran the next release and was fit
	Done       int           // nodes that did
	Slowest    time.Duration // of one node, from going until it was fit again
	Datagrams  int
	Bytes      int
	HaltedOnce bool
}

// Releases of a roll.
const rollFrom, rollTo = "r1", "r2"

// rolling is a roll that goes on.
type rolling struct {
	opt    Options
	em     *emulator.Emulator
	places []*place
	relay  *faultproxy.Proxy
	result RolloutResult
	out    []time.Time // when a node went, by its number; zero while it is in
	on     []string    // release that its process was started with
	seen   []int64     // of its log
}

func newRolling(opt Options, em *emulator.Emulator, net *faultproxy.Proxy) *rolling {
	n := len(opt.Plan.Spec.Nodes)
	r := &rolling{opt: opt, em: em, relay: net, out: make([]time.Time, n), on: make([]string, n), seen: make([]int64, n)}
	for i := range r.on {
		r.on[i] = rollFrom
	}
	return r
}

// peers is what the emulator's configurations say of the other nodes.
func peersOf(net *faultproxy.Proxy) func(int) (string, []string, string) {
	if net == nil {
		return nil
	}
	return net.Addresses
}

func (r *rolling) socket(i int) string { return filepath.Join(r.opt.Dir, fmt.Sprintf("n%d.ctl", i)) }

// args writes a node's operator file for a release and returns the words that name it.
func (r *rolling) args(i int, release string) ([]string, error) {
	path := filepath.Join(r.opt.Dir, fmt.Sprintf("n%d.toml", i))
	text := fmt.Sprintf("[log]\nlevel = \"debug\"\n[rollout]\nnodes_out = %d\nrelease = %q\ncontrol = %q\nbeacon = \"250ms\"\nsilent = \"2s\"\nlease = \"2s\"\nwatch = \"1s\"\nleast_judged = 50\n",
		r.opt.Rollout.Budget, release, r.socket(i))
	return append([]string{"--file", path}, r.opt.NodeArgs...), os.WriteFile(path, []byte(text), 0o600)
}

// lines are those that a node's log has gained.
func (r *rolling) lines(i int) (lines []string) {
	f, err := os.Open(r.places[i].process().LogPath)
	if err != nil {
		return nil
	}
	defer f.Close()
	f.Seek(r.seen[i], 0)
	rd := bufio.NewReader(f)
	for {
		line, err := rd.ReadString('\n')
		if err != nil {
			return lines // half a line is read again
		}
		r.seen[i] += int64(len(line))
		lines = append(lines, line)
	}
}

// run orders the roll and plays the supervisor of all nodes until all run the next release, or the load is over.
func (r *rolling) run(ctx context.Context, program string, done <-chan struct{}) error {
	roll := r.opt.Rollout
	select {
	case <-time.After(roll.After):
	case <-done:
		return nil
	}
	var began time.Time
	stalled := roll.Stall <= 0
	var late <-chan time.Time
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		if began.IsZero() && r.fit(0) == len(r.places) {
			if err := r.order(); err != nil {
				return err
			}
			began = time.Now()
		}
		for i, p := range r.places {
			for _, line := range r.lines(i) {
				switch {
				case strings.Contains(line, `"event":"rollout_leaves"`):
					r.out[i] = time.Now()
					p.process().ExpectExit()
					p.leaving = time.Now()
					if !stalled {
						stalled = true
						if err := p.process().Signal(syscall.SIGSTOP); err != nil {
							return err
						}
						time.AfterFunc(roll.Stall, func() { p.process().Signal(syscall.SIGCONT) })
					}
				case strings.Contains(line, fmt.Sprintf(`"event":"rollout_fit","node":%d,`, i)) && !r.out[i].IsZero():
					r.result.Slowest = max(r.result.Slowest, time.Since(r.out[i]))
					r.out[i] = time.Time{}
				case strings.Contains(line, `"event":"rollout_halted"`):
					r.result.HaltedOnce = true
				}
			}
			if !p.leaving.IsZero() && time.Since(p.leaving) > noticed {
				p.used.Store(false) // the front sees that it closes
			}
			select {
			case <-p.process().Done():
				if err := r.again(ctx, i, program); err != nil {
					return err
				}
			default:
			}
		}
		most := 0
		for _, at := range r.out {
			if !at.IsZero() {
				most++
			}
		}
		r.result.Most = max(r.result.Most, most)
		r.result.Done = 0
		for i := range r.places {
			if r.on[i] == rollTo && r.out[i].IsZero() {
				r.result.Done++
			}
		}
		if r.result.Done == len(r.places) && !began.IsZero() {
			r.result.Took = time.Since(began)
			return nil
		}
		select {
		case <-done:
			done, late = nil, time.After(afterLoad)
		case <-late:
			return fmt.Errorf("%d of %d nodes had gone to the next release %s after the load was over", r.result.Done, len(r.places), afterLoad)
		case <-tick.C:
		}
	}
}

// afterLoad is how much longer than the load a roll may take: on a busy machine it does.
const afterLoad = time.Minute

// noticed is how long a front takes to see that a node goes.
const noticed = 300 * time.Millisecond

// again starts the next process of a node that went out.
func (r *rolling) again(ctx context.Context, i int, program string) error {
	p := r.places[i]
	if err := p.process().Stop(stopWithin); err != nil {
		return err
	}
	p.used.Store(false)
	p.cpu += p.process().Usage().CPU
	r.em.Tell(func(_ time.Duration, check *invariants.Checker) { check.NodeRestarted(p.Number) })
	if err := r.em.WriteConfig(p.NodeConfig); err != nil {
		return err
	}
	args, err := r.args(i, rollTo)
	if err != nil {
		return err
	}
	r.on[i], p.leaving = rollTo, time.Time{}
	up, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	return p.start(up, program, args)
}

// call makes an operator's call at a node.
func (r *rolling) call(i int, method, path string, into any) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", r.socket(i))
		}}}
	req, err := http.NewRequest(method, "http://node"+path, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// fit is how many nodes a node knows to be in service.
func (r *rolling) fit(i int) int {
	var status struct{ Fit int }
	r.call(i, http.MethodGet, "/status", &status) // one that does not answer knows of none
	return status.Fit
}

func (r *rolling) order() error {
	var status any
	if err := r.call(0, http.MethodPost, "/roll?to="+rollTo, &status); err != nil {
		return fmt.Errorf("the order to roll: %w", err)
	}
	return nil
}
