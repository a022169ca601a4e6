package demo

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/olekukonko/tablewriter"

	"shelfproxy/internal/testbed/clients"
	"shelfproxy/internal/testbed/emulator"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
)

const syscallTerm = syscall.SIGTERM

// watch shows the run while it goes on: a table in place on a terminal, else a line now and then.
func watch(opt Options, em *emulator.Emulator, load *clients.Clients, done <-chan struct{}) {
	tick := time.NewTicker(opt.Every)
	defer tick.Stop()
	drawn := 0
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		var now time.Duration
		var servers []model.ServerState
		var broken int
		if !em.Do(func(t time.Duration, p *model.System, c *invariants.Checker) {
			now, servers, broken = t, p.Servers(), len(c.Violations())
		}) {
			return
		}
		classes := load.Classes()
		line := headline(now, opt.Plan.Length, classes, servers, broken)
		if !opt.Live {
			fmt.Fprintln(opt.Out, line)
			continue
		}
		var b strings.Builder
		if drawn > 0 {
			fmt.Fprintf(&b, "\x1b[%dA\x1b[J", drawn)
		}
		text := line + "\n" + serverTable(servers)
		b.WriteString(text)
		drawn = strings.Count(text, "\n")
		io.WriteString(opt.Out, b.String())
	}
}

func headline(now, length time.Duration, classes []clients.Class, servers []model.ServerState, broken int) string {
	var sum clients.Class
	for _, c := range classes {
		sum.Scheduled += c.Scheduled
		sum.Served += c.Served
		sum.Rejected += c.Rejected
		sum.Failed += c.Failed + c.Unanswered + c.Unsent
	}
	up, draining, down := 0, 0, 0
	origin := ""
	for _, s := range servers {
		switch {
		case s.ID == model.OriginID:
			origin = fmt.Sprintf("origin %d in work, %d waiting", s.Running, s.Waiting)
		case s.Dead || s.Unresponsive:
			down++
		case s.State == model.Draining:
			draining++
		default:
			up++
		}
	}
	return fmt.Sprintf("%5.1f s of %.0f: %d due, %d served, %d refused, %d failed | boxes: %d up, %d draining, %d down or silent | %s | rules broken: %d",
		now.Seconds(), length.Seconds(), sum.Scheduled, sum.Served, sum.Rejected, sum.Failed, up, draining, down, origin, broken)
}

func serverTable(servers []model.ServerState) string {
	var b strings.Builder
	t := tablewriter.NewWriter(&b)
	t.Header("server", "kind", "room", "state", "warm", "in work", "waiting", "connections", "copies")
	for _, s := range servers {
		state := s.State.String()
		switch {
		case s.Dead:
			state = "dead"
		case s.Unresponsive:
			state = "silent"
		}
		t.Append(s.ID, s.Kind, s.Zone, state, fmt.Sprintf("%.0f%%", s.SlowStart*100), s.Running, s.Waiting, s.Conns, s.Copies)
	}
	t.Render()
	return b.String()
}

// Write writes the summary of a run.
func (r *Result) Write(w io.Writer) {
	if r.Interrupted {
		fmt.Fprintln(w, "interrupted; this is what was seen until then")
	}
	fmt.Fprintf(w, "\nscenario %s, seed %d: %d nodes, %d boxes, up to %.0f requests a second for %s\n", r.Plan.Name, r.Plan.Seed, len(r.Plan.Spec.Nodes),
		len(r.Plan.Spec.CacheServers), r.Plan.Peak(), r.Plan.Length)
	clients.WriteClasses(w, r.Classes)
	taken := max(1, r.Summary.Rules.Requests)
	t := tablewriter.NewWriter(w)
	t.Header("node", "room", "CPU s", "memory MB", "descriptors")
	cpu := time.Duration(0)
	for _, n := range r.Nodes {
		cpu += n.CPU
		t.Append(n.Name, n.Zone, fmt.Sprintf("%.2f", n.CPU.Seconds()), fmt.Sprintf("%.1f", float64(n.Memory)/(1<<20)), n.Sockets)
	}
	t.Render()
	s := r.Summary
	fmt.Fprintf(w, "nodes: %.2f ms of processor a request, %.2f attempts a request, %d probes, %d calls of discovery\n",
		cpu.Seconds()*1000/float64(taken), float64(s.Requests)/float64(taken), s.Probes, s.Calls)
	fmt.Fprintf(w, "rig: sends late by p99 %s ms, max %s ms; emulator late by p99 %.1f ms, max %.1f ms; event log %016x\n",
		clients.Millis(r.Generator.Lag, 99), clients.Millis(r.Generator.Lag, 100), s.LateP99.Seconds()*1000, s.LateMax.Seconds()*1000, s.Events)
	if o := r.Rollout; o != nil {
		fmt.Fprintf(w, "roll: %d of %d nodes on the next release after %.1f s, %d out at once at most, a node out for %.1f s at most; %d datagrams, %d bytes between nodes; halted: %v\n",
			o.Done, len(r.Nodes), o.Took.Seconds(), o.Most, o.Slowest.Seconds(), o.Datagrams, o.Bytes, o.HaltedOnce)
	}
	for _, why := range r.Generator.Invalid() {
		fmt.Fprintln(w, "the latencies are not to be believed:", why)
	}
	for _, err := range r.Ends {
		fmt.Fprintln(w, "broken:", err)
	}
	for _, v := range s.Broken {
		fmt.Fprintln(w, v)
	}
	if r.IsClean() {
		fmt.Fprintf(w, "rules kept: %d requests taken and %d answered, %d attempts, %d lists told\n", s.Rules.Requests, s.Rules.Answered,
			s.Rules.Attempts, s.Rules.Notifications)
	} else {
		fmt.Fprintf(w, "rules broken: %d\n", len(s.Broken)+len(r.Ends))
	}
}
