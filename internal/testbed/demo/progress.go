package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"

	"shelfproxy/internal/testbed/clients"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
)

// progress is a snapshot of the state of a run.
type progress struct {
	now, length time.Duration
	classes     []clients.Class
	servers     []model.ServerState
	violations  int
}

// showProgress writes the state of the run at intervals of Options.Every until the load ends. If Options.Live is set, it
// redraws a table in place; otherwise it writes one line each time.
func (r *run) showProgress(load *clients.Clients, loadEnded <-chan struct{}) {
	ticker := time.NewTicker(r.options.Every)
	defer ticker.Stop()
	linesDrawn := 0
	for {
		select {
		case <-loadEnded:
			return
		case <-ticker.C:
		}
		current := progress{length: r.options.Plan.Length}
		if !r.emulator.Do(func(now time.Duration, system *model.System, check *invariants.Checker) {
			current.now, current.servers, current.violations = now, system.Servers(), len(check.Violations())
		}) {
			return
		}
		current.classes = load.Classes()
		if !r.options.Live {
			fmt.Fprintln(r.options.Out, current.headline())
			continue
		}
		linesDrawn = current.redraw(r.options.Out, linesDrawn)
	}
}

// redraw erases the last linesDrawn lines, writes the new state and returns the number of lines that it wrote.
func (p progress) redraw(out io.Writer, linesDrawn int) int {
	eraseLines := ""
	if linesDrawn > 0 {
		eraseLines = fmt.Sprintf("\x1b[%dA\x1b[J", linesDrawn)
	}
	text := p.headline() + "\n" + p.serverTable()
	fmt.Fprint(out, eraseLines+text)
	return strings.Count(text, "\n")
}

func (p progress) headline() string {
	var sum clients.Class
	for _, class := range p.classes {
		sum.Scheduled += class.Scheduled
		sum.Served += class.Served
		sum.Rejected += class.Rejected
		sum.Failed += class.Failed + class.Unanswered + class.Unsent
	}
	up, draining, down := 0, 0, 0
	origin := ""
	for _, server := range p.servers {
		switch {
		case server.ID == model.OriginID:
			origin = fmt.Sprintf("origin %d in work, %d waiting", server.Running, server.Waiting)
		case server.Dead || server.Unresponsive:
			down++
		case server.State == model.Draining:
			draining++
		default:
			up++
		}
	}
	return fmt.Sprintf("%5.1f s of %.0f: %d due, %d served, %d rejected, %d failed | cache servers: %d up, %d draining, %d down or unresponsive | %s | invariants violated: %d",
		p.now.Seconds(), p.length.Seconds(), sum.Scheduled, sum.Served, sum.Rejected, sum.Failed, up, draining, down, origin, p.violations)
}

func (p progress) serverTable() string {
	var text strings.Builder
	table := tablewriter.NewWriter(&text)
	table.Header("server", "kind", "zone", "state", "warm", "in work", "waiting", "connections", "copies")
	for _, server := range p.servers {
		state := server.State.String()
		switch {
		case server.Dead:
			state = "dead"
		case server.Unresponsive:
			state = "unresponsive"
		}
		if err := table.Append(server.ID, server.Kind, server.Zone, state, fmt.Sprintf("%.0f%%", server.SlowStart*100), server.Running,
			server.Waiting, server.Conns, server.Copies); err != nil {
			return err.Error()
		}
	}
	if err := table.Render(); err != nil {
		return err.Error()
	}
	return text.String()
}
