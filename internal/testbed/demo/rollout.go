package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"shelfproxy/internal/testbed/faultproxy"
)

// Rollout describes a rollout under load: the nodes agree among themselves when each of them restarts with another release,
// while faults affect the datagrams between them.
type Rollout struct {
	Budget int // number of nodes that may be out of service at the same time
	Faults faultproxy.Faults
	Stall  time.Duration // how long the first node that drains is paused by SIGSTOP; 0 pauses no node
	After  time.Duration // earliest time of the order to roll out, from the start of the load
}

// RolloutResult is the result of a rollout.
type RolloutResult struct {
	MostOut   int           // highest number of nodes that were out of service for the rollout at the same time
	Elapsed   time.Duration // time from the order to roll out until every node ran the next release and was ready
	Done      int           // number of nodes that run the next release and are ready
	Slowest   time.Duration // longest time for which a node was out of service
	Datagrams int           // number of datagrams between the nodes
	Bytes     int           // total size of the datagrams between the nodes, in bytes
	WasHalted bool          // whether a node halted the rollout
}

// Names of the releases that nodes run before and after the rollout.
const (
	releaseBefore = "r1"
	releaseAfter  = "r2"
)

const (
	rolloutPoll = 5 * time.Millisecond // interval between two checks of the nodes
	// rolloutSlack is the time after the end of the load in which a rollout must be complete. It is long because the machine may
	// be busy.
	rolloutSlack       = time.Minute
	controlCallTimeout = time.Second // timeout of a call to a node's control socket
)

// operatorFile is the format string of a node's operators' file. The budget, the release and the path of the control socket are
// filled in.
const operatorFile = `[log]
level = "debug"
[rollout]
nodes_out = %d
release = %q
control = %q
beacon = "250ms"
silent = "2s"
lease = "2s"
watch = "1s"
least_judged = 50
`

// rollout orders the nodes to roll out a release, reads their logs, and restarts drained nodes as their supervisor would. Only
// one goroutine uses a rollout.
type rollout struct {
	*run
	nodes     []rolloutNode // by instance number
	orderedAt time.Time     // when the rollout was ordered; zero before the order
	isStalled bool          // whether a node was already paused for Rollout.Stall
	result    RolloutResult
}

// rolloutNode is the state of a node in a rollout.
type rolloutNode struct {
	release   string    // release with which the node's process was started
	outSince  time.Time // when the node went out of service; zero while it is in service
	logOffset int64     // number of bytes of the node's log that were read
}

func (n *rolloutNode) isOut() bool { return !n.outSince.IsZero() }

func newRollout(r *run) *rollout {
	ro := &rollout{run: r, nodes: make([]rolloutNode, len(r.instances))}
	for i := range ro.nodes {
		ro.nodes[i].release = releaseBefore
	}
	return ro
}

func (ro *rollout) controlSocket(node int) string {
	return filepath.Join(ro.options.Dir, fmt.Sprintf("n%d.ctl", node))
}

// nodeArgs writes a node's operators' file for a release and returns the node's arguments, which include the path of the file.
func (ro *rollout) nodeArgs(node int, release string) ([]string, error) {
	path := filepath.Join(ro.options.Dir, fmt.Sprintf("n%d.toml", node))
	content := fmt.Sprintf(operatorFile, ro.options.Rollout.Budget, release, ro.controlSocket(node))
	return append([]string{"--file", path}, ro.options.NodeArgs...), os.WriteFile(path, []byte(content), 0o600)
}

// rollOut orders the rollout and waits until all nodes run the next release and are ready. It fails if they do not within
// rolloutSlack after the end of the load.
func (ro *rollout) rollOut(ctx context.Context, loadEnded <-chan struct{}) error {
	select {
	case <-time.After(ro.options.Rollout.After):
	case <-loadEnded:
		return nil
	}
	ticker := time.NewTicker(rolloutPoll)
	defer ticker.Stop()
	var tooLate <-chan time.Time
	for {
		if err := ro.step(ctx); err != nil {
			return err
		}
		if ro.isComplete() {
			ro.result.Elapsed = time.Since(ro.orderedAt)
			return nil
		}
		select {
		case <-loadEnded:
			loadEnded, tooLate = nil, time.After(rolloutSlack)
		case <-tooLate:
			return fmt.Errorf("%d of %d nodes ran the next release %s after the end of the load", ro.result.Done, len(ro.instances), rolloutSlack)
		case <-ticker.C:
		}
	}
}

// step orders the rollout once all nodes are ready. It reads the new log entries of every node and restarts the nodes that have
// drained and exited.
func (ro *rollout) step(ctx context.Context) error {
	if ro.orderedAt.IsZero() && ro.readyNodes(ctx, 0) == len(ro.instances) {
		if err := ro.order(ctx); err != nil {
			return err
		}
		ro.orderedAt = time.Now()
	}
	for i, instance := range ro.instances {
		if err := ro.readLog(i); err != nil {
			return err
		}
		if !instance.drainingSince.IsZero() && time.Since(instance.drainingSince) > frontNoticeDelay {
			instance.isInUse.Store(false)
		}
		select {
		case <-instance.currentProcess().Done():
			if err := ro.startNextRelease(ctx, i); err != nil {
				return err
			}
		default:
		}
	}
	ro.countNodes()
	return nil
}

// countNodes updates the number of nodes that are ready with the next release, and the highest number of nodes that were out of
// service at the same time.
func (ro *rollout) countNodes() {
	out := 0
	ro.result.Done = 0
	for i := range ro.nodes {
		switch node := &ro.nodes[i]; {
		case node.isOut():
			out++
		case node.release == releaseAfter:
			ro.result.Done++
		}
	}
	ro.result.MostOut = max(ro.result.MostOut, out)
}

func (ro *rollout) isComplete() bool {
	return ro.result.Done == len(ro.instances) && !ro.orderedAt.IsZero()
}

// Texts by which events are found in a node's log.
const (
	eventDrains = `"event":"rollout_leaves"`
	eventReady  = `"event":"rollout_fit","node":%d,` // logged when node %d is ready
	eventHalted = `"event":"rollout_halted"`
)

// readLog reads the log entries of a node since the last call and updates the state of the rollout.
func (ro *rollout) readLog(node int) error {
	ready := fmt.Sprintf(eventReady, node)
	state := &ro.nodes[node]
	for _, entry := range ro.newLogEntries(node) {
		switch {
		case strings.Contains(entry, eventDrains):
			if err := ro.nodeDrains(node); err != nil {
				return err
			}
		case strings.Contains(entry, ready) && state.isOut():
			ro.result.Slowest = max(ro.result.Slowest, time.Since(state.outSince))
			state.outSince = time.Time{}
		case strings.Contains(entry, eventHalted):
			ro.result.WasHalted = true
		}
	}
	return nil
}

// newLogEntries returns the complete lines that were added to a node's log since the last call.
func (ro *rollout) newLogEntries(node int) (entries []string) {
	file, err := os.Open(ro.instances[node].currentProcess().LogPath)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }() // the file was only read, so an error of Close does not matter
	if _, err := file.Seek(ro.nodes[node].logOffset, io.SeekStart); err != nil {
		return nil
	}
	reader := bufio.NewReader(file)
	for {
		entry, err := reader.ReadString('\n')
		if err != nil {
			return entries // the next call reads an incomplete line again
		}
		ro.nodes[node].logOffset += int64(len(entry))
		entries = append(entries, entry)
	}
}

// nodeDrains records that a node drains. It pauses the first node that drains for Rollout.Stall.
func (ro *rollout) nodeDrains(node int) error {
	instance := ro.instances[node]
	process := instance.currentProcess()
	ro.nodes[node].outSince = time.Now()
	instance.drainingSince = time.Now()
	process.ExpectExit()
	if ro.isStalled || ro.options.Rollout.Stall <= 0 {
		return nil
	}
	ro.isStalled = true
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("stall node %d: %w", node, err)
	}
	time.AfterFunc(ro.options.Rollout.Stall, func() {
		_ = process.Signal(syscall.SIGCONT) // fails only if the process has ended; step notices an ended process
	})
	return nil
}

// startNextRelease restarts a node that has drained and exited, with the next release.
func (ro *rollout) startNextRelease(ctx context.Context, node int) error {
	instance := ro.instances[node]
	process := instance.currentProcess()
	if err := process.Stop(stopTimeout); err != nil {
		return err
	}
	instance.isInUse.Store(false)
	instance.earlierCPU += process.Usage().CPU
	args, err := ro.nodeArgs(node, releaseAfter)
	if err != nil {
		return err
	}
	ro.nodes[node].release, instance.drainingSince = releaseAfter, time.Time{}
	return ro.startNext(ctx, instance, args)
}

// callControl sends a request to the control socket of a node, as an operator does, and decodes the answer. The end of the
// context does not cancel the request: a run that is interrupted still finishes its calls.
func (ro *rollout) callControl(ctx context.Context, node int, method, path string, answer any) error {
	client := http.Client{Timeout: controlCallTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", ro.controlSocket(node))
		}}}
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), method, "http://node"+path, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body was only read, so an error of Close does not matter
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// readyNodes asks a node how many nodes of the fleet are ready. It returns 0 if the node does not answer.
func (ro *rollout) readyNodes(ctx context.Context, node int) int {
	var status struct {
		Ready int `json:"fit"`
	}
	if err := ro.callControl(ctx, node, http.MethodGet, "/status", &status); err != nil {
		return 0
	}
	return status.Ready
}

// order tells the first node over its control socket to begin the rollout of the next release.
func (ro *rollout) order(ctx context.Context) error {
	var status any
	if err := ro.callControl(ctx, 0, http.MethodPost, "/roll?to="+releaseAfter, &status); err != nil {
		return fmt.Errorf("order the release: %w", err)
	}
	return nil
}
