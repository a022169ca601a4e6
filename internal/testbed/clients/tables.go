package clients

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
)

// barWidth is the length, in characters, of the bar for the longest latency in the timeline.
const barWidth = 40

// WriteClasses writes a table of the results of all classes. Latency is measured from the time at which a request was due,
// and service from the time at which the request was sent.
func WriteClasses(out io.Writer, classes []Class) error {
	table := tablewriter.NewWriter(out)
	table.Header("class", "due", "served", "in objective", "rejected", "failed", "lost", "p50 ms", "p90 ms", "p99 ms", "max ms", "p99 of service")
	for _, class := range classes {
		if err := table.Append(class.Name, class.Scheduled, class.Served, class.WithinObjective, class.Rejected, class.Failed,
			class.Unanswered+class.Unsent, Millis(class.Latency, 50), Millis(class.Latency, 90), Millis(class.Latency, 99),
			Millis(class.Latency, 100), Millis(class.Service, 99)); err != nil {
			return err
		}
	}
	return table.Render()
}

// Write writes the timeline of latencies, the figures of the generator and the reasons, if any, why the run is not valid.
func (g Generator) Write(out io.Writer) error {
	if err := g.writeTimeline(out); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "generator: %d sent, %d over %s late, lag p99 %s ms, max %s ms, %d out at most, %.2f s of processor in %.1f s, collector %.1f ms\n",
		g.Sent, g.Late, lateAfter, Millis(g.Lag, 99), Millis(g.Lag, 100), g.MaxInFlight, g.CPU.Seconds(), g.Elapsed.Seconds(), g.GCPauses.Seconds()*1000)
	for _, reason := range g.Invalid() {
		fmt.Fprintln(out, "not valid:", reason)
	}
	return err
}

func (g Generator) writeTimeline(out io.Writer) error {
	table := tablewriter.NewWriter(out)
	table.Header("due in", "served", "p50 ms", "p99 ms", "max ms", "")
	longest := int64(1)
	for _, interval := range g.Timeline {
		longest = max(longest, interval.Latency.Max())
	}
	for i, interval := range g.Timeline {
		from := time.Duration(i) * g.Step
		bar := strings.Repeat("#", int(barWidth*interval.Latency.Max()/longest))
		if err := table.Append(fmt.Sprintf("%.0f s", from.Seconds()), interval.Served, Millis(interval.Latency, 50),
			Millis(interval.Latency, 99), Millis(interval.Latency, 100), bar); err != nil {
			return err
		}
	}
	return table.Render()
}
