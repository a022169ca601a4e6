package daemon

import (
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/request"
)

// responseCounts returns the responses that the node has given since its start.
func (d *Daemon) responseCounts() rollout.ResponseCounts {
	responses, failed := d.counters.Total(int(request.Failed))
	return rollout.ResponseCounts{Responses: responses, Failed: failed, Slow: int(d.counters.ServedLate.Load())}
}

// reportToSupervisor reports the responses since the last report. It returns false if a supervisor started this process and is
// gone.
func (d *Daemon) reportToSupervisor() bool {
	if !d.parent.IsSupervised() {
		return true
	}
	counts := d.responseCounts()
	err := d.parent.ReportResponses(counts.Responses-d.lastReport.Responses, counts.Failed-d.lastReport.Failed)
	d.lastReport = counts
	return err == nil
}
