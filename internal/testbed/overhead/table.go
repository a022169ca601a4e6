package overhead

import (
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"

	"shelfproxy/internal/testbed/clients"
)

// Write writes the results of Run as a table, with ratios to the program that only copies bytes.
func Write(out io.Writer, results []Result) error {
	table := tablewriter.NewWriter(out)
	table.Header("way", "requests a second", "p50 ms", "p99 ms", "processor a request, us", "memory MB", "rate / splice", "p99 / splice", "processor / splice")
	base := results[pathCopy]
	for _, result := range results {
		cpu, memory := "-", "-"
		if result.CPU > 0 {
			cpu = fmt.Sprintf("%.1f", float64(result.CPUPerRequest().Nanoseconds())/1000)
			memory = fmt.Sprintf("%.1f", float64(result.Memory)/(1<<20))
		}
		if err := table.Append(result.Path, fmt.Sprintf("%.0f", result.Rate()), clients.Millis(result.Latency, 50), clients.Millis(result.Latency, 99),
			cpu, memory, ratio(result.Rate(), base.Rate()),
			ratio(float64(result.Latency.ValueAtQuantile(99)), float64(base.Latency.ValueAtQuantile(99))),
			ratio(float64(result.CPUPerRequest()), float64(base.CPUPerRequest()))); err != nil {
			return err
		}
	}
	return table.Render()
}

// ratio formats value divided by base. It returns "-" if one of them is missing.
func ratio(value, base float64) string {
	if base <= 0 || value <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value/base)
}
