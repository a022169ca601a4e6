package clients

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms are of microseconds.
const (
	maxLatency        = 2 * time.Minute // longer ones count as this
	significantDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(1, latency.Microseconds()), maxLatency.Microseconds())) // in range, which is its only error
}

func copyHistogram(histogram *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	return hdrhistogram.Import(histogram.Export())
}

// Millis formats a quantile, from 0 to 100, of a histogram of microseconds in milliseconds; "-" if it is empty.
func Millis(histogram *hdrhistogram.Histogram, quantile float64) string {
	if histogram.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(histogram.ValueAtQuantile(quantile))/1000)
}
