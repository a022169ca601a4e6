package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/olekukonko/tablewriter"

	"shelfproxy/internal/testbed/clients"
)

// Write writes the summary of a run.
func (r *Result) Write(out io.Writer) error {
	if r.Interrupted {
		fmt.Fprintln(out, "interrupted; this is what was seen until then")
	}
	fmt.Fprintf(out, "\nscenario %s, seed %d: %d nodes, %d cache servers, up to %.0f requests a second for %s\n", r.Plan.Name, r.Plan.Seed,
		len(r.Plan.Spec.Nodes), len(r.Plan.Spec.CacheServers), r.Plan.Peak(), r.Plan.Length)
	if err := clients.WriteClasses(out, r.Classes); err != nil {
		return err
	}
	if err := r.writeNodes(out); err != nil {
		return err
	}
	r.writeTestbed(out)
	if r.Rollout != nil {
		r.Rollout.write(out, len(r.Nodes))
	}
	r.writeVerdict(out)
	return nil
}

func (r *Result) writeNodes(out io.Writer) error {
	table := tablewriter.NewWriter(out)
	table.Header("node", "zone", "CPU s", "memory MB", "peak MB", "descriptors")
	for _, node := range r.Nodes {
		if err := table.Append(node.Name, node.Zone, fmt.Sprintf("%.2f", node.CPU.Seconds()),
			fmt.Sprintf("%.1f", float64(node.Memory)/(1<<20)), fmt.Sprintf("%.1f", float64(node.PeakMemory)/(1<<20)), node.Descriptors); err != nil {
			return err
		}
	}
	return table.Render()
}

// writeTestbed writes the cost of requests on the nodes, and how late the testbed itself was against its schedule.
func (r *Result) writeTestbed(out io.Writer) {
	cpu := time.Duration(0)
	for _, node := range r.Nodes {
		cpu += node.CPU
	}
	summary := r.Summary
	requests := float64(max(1, summary.Counts.Requests))
	fmt.Fprintf(out, "nodes: %.2f ms of processor a request, %.2f attempts a request, %d health checks, %d calls of discovery, %d bytes of lists\n",
		cpu.Seconds()*1000/requests, float64(summary.Requests)/requests, summary.HealthChecks, summary.Calls, summary.ListBytes)
	fmt.Fprintf(out, "testbed: sends late by p99 %s ms, max %s ms; emulator late by p99 %.1f ms, max %.1f ms; event log %016x\n",
		clients.Millis(r.Generator.Lag, 99), clients.Millis(r.Generator.Lag, 100), summary.LateP99.Seconds()*1000,
		summary.LateMax.Seconds()*1000, summary.Events)
}

func (r *RolloutResult) write(out io.Writer, nodes int) {
	fmt.Fprintf(out, "rollout: %d of %d nodes on the next release after %.1f s, %d out of service at once at most, a node for %.1f s at most; %d datagrams, %d bytes between nodes; halted: %v\n",
		r.Done, nodes, r.Elapsed.Seconds(), r.MostOut, r.Slowest.Seconds(), r.Datagrams, r.Bytes, r.WasHalted)
}

// writeVerdict writes the reasons why the run is invalid, the failures and violations, and a last line that says whether the
// run is clean.
func (r *Result) writeVerdict(out io.Writer) {
	for _, reason := range r.Generator.Invalid() {
		fmt.Fprintln(out, "the latencies are not to be believed:", reason)
	}
	for _, failure := range r.Failures {
		fmt.Fprintln(out, "failed:", failure)
	}
	for _, violation := range r.Summary.Violations {
		fmt.Fprintln(out, violation)
	}
	if r.IsClean() {
		fmt.Fprintf(out, "no invariant violated: %d requests sent and %d answered, %d attempts, %d list updates\n", r.Summary.Counts.Requests,
			r.Summary.Counts.Answered, r.Summary.Counts.Attempts, r.Summary.Counts.Notifications)
	} else {
		fmt.Fprintf(out, "invariants violated: %d\n", len(r.Summary.Violations)+len(r.Failures))
	}
}
