package daemon

import (
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/request"
)

// responseCounts returns how many responses the node has given since its start, and how many of them failed or came late.
func (d *Daemon) responseCounts() rollout.ResponseCounts {
	responses, failed := d.counters.Total(int(request.Failed))
	return rollout.ResponseCounts{Responses: responses, Failed: failed, Slow: int(d.counters.ServedLate.Load())}
}

// reportToSupervisor reports the responses since the last report to the supervisor. It returns false if the supervisor that started
// this process has ended. Without a supervisor it does nothing and returns true.
func (d *Daemon) reportToSupervisor() bool {
	if !d.parent.IsSupervised() {
		return true
	}
	counts := d.responseCounts()
	err := d.parent.ReportResponses(counts.Responses-d.lastReport.Responses, counts.Failed-d.lastReport.Failed)
	d.lastReport = counts
	return err == nil
}
