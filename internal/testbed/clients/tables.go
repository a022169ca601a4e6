package clients

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/olekukonko/tablewriter"
)

// Millis is a quantile, from 0 to 100, of a histogram of microseconds, in milliseconds.
func Millis(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/1000)
}

// WriteClasses writes a table of what each class came to. Latency counts from when requests were due, service from when
// they were sent.
func WriteClasses(w io.Writer, classes []Class) {
	t := tablewriter.NewWriter(w)
	t.Header("class", "due", "served", "in aim", "refused", "failed", "lost", "p50 ms", "p90 ms", "p99 ms", "max ms", "p99 of service")
	for _, c := range classes {
		t.Append(c.Name, c.Scheduled, c.Served, c.WithinObjective, c.Rejected, c.Failed, c.Unanswered+c.Unsent, Millis(c.Latency, 50), Millis(c.Latency, 90),
			Millis(c.Latency, 99), Millis(c.Latency, 100), Millis(c.Service, 99))
	}
	t.Render()
}

// Write writes how the generator did, with the time line of latencies.
func (g Generator) Write(w io.Writer) {
	t := tablewriter.NewWriter(w)
	t.Header("due in", "served", "p50 ms", "p99 ms", "max ms", "")
	most := int64(1)
	for _, s := range g.Seconds {
		most = max(most, s.Latency.Max())
	}
	for i, s := range g.Seconds {
		from := time.Duration(i) * g.Step
		bar := strings.Repeat("#", int(40*s.Latency.Max()/most))
		t.Append(fmt.Sprintf("%.0f s", from.Seconds()), s.Served, Millis(s.Latency, 50), Millis(s.Latency, 99), Millis(s.Latency, 100), bar)
	}
	t.Render()
	fmt.Fprintf(w, "generator: %d sent, %d over %s late, lag p99 %s ms, max %s ms, %d out at most, %.2f s of processor in %.1f s, collector %.1f ms\n",
		g.Sent, g.Late, lateSend, Millis(g.Lag, 99), Millis(g.Lag, 100), g.MaxInFlight, g.CPU.Seconds(), g.Elapsed.Seconds(), g.Pauses.Seconds()*1000)
	for _, why := range g.Invalid() {
		fmt.Fprintln(w, "not valid:", why)
	}
}
