package clients

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, whose values are in microseconds.
const (
	maxLatency        = 2 * time.Minute // longer latencies are recorded as maxLatency
	significantDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(1, latency.Microseconds()), maxLatency.Microseconds())) // the value is in range, so there is no error
}

func copyHistogram(histogram *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	return hdrhistogram.Import(histogram.Export())
}

// Millis returns a percentile of a histogram as text. quantile is from 0 to 100. The histogram holds microseconds; the
// text is in milliseconds. It returns "-" if the histogram is empty.
func Millis(histogram *hdrhistogram.Histogram, quantile float64) string {
	if histogram.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(histogram.ValueAtQuantile(quantile))/1000)
}
