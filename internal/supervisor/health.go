package supervisor

import "slices"

// handleResponseCounts records the responses that a process reports. It halts replacing if the process replaced another one, is
// still in its observation period and fails too often.
func (c *Core) handleResponseCounts(now Time, e ResponseCounts) {
	i, p := c.findProcess(e.Process)
	if p == nil {
		return
	}
	p.responses += float64(e.Responses)
	p.failed += float64(e.Failed)
	p.lastReportAt = max(now, 1) // at least 1, because 0 means that the process has sent no report
	in := &c.instances[i]
	if in.current != p || !in.isObserved || !c.hasEnoughSamples(p) {
		return
	}
	if p.failureRate() > c.baselineFailureRate(i)+c.cfg.MaxFailureRate {
		in.isObserved = false
		c.log(LogUnhealthy, i, p.number)
		c.halt(i, p.number)
	}
}

// hasEnoughSamples reports whether a process has given enough responses for its failure rate to be judged.
func (c *Core) hasEnoughSamples(p *process) bool {
	return p.responses >= float64(max(1, c.cfg.MinSamples))
}

// baselineFailureRate returns the median failure rate of the instances' processes; of two middle values it takes the lower one.
// It leaves out the instance except, instances whose new process is still being observed, and processes that have given too few
// responses. If no process is left, it returns 0.
func (c *Core) baselineFailureRate(except int) float64 {
	var rates []float64
	for i := range c.instances {
		in := &c.instances[i]
		if i != except && in.current != nil && !in.isObserved && c.hasEnoughSamples(in.current) {
			rates = append(rates, in.current.failureRate())
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// endObservation ends the observation of an instance's current process once the process has served for ObservationPeriod. The
// instance's number of failed starts in a row is then set to 0.
func (c *Core) endObservation(now Time, i int) {
	in := &c.instances[i]
	if in.current != nil && now-in.current.readyAt >= c.cfg.ObservationPeriod {
		in.isObserved, in.failedStarts = false, 0
	}
}

// checkHang marks a current process as hung if it has stopped sending reports. A hung process is replaced at once, even while
// replacing is halted.
func (c *Core) checkHang(now Time, i int) {
	p := c.instances[i].current
	if c.cfg.HangTimeout <= 0 || p == nil || p.isHung || p.lastReportAt == 0 {
		return
	}
	if now-p.lastReportAt >= c.cfg.HangTimeout {
		p.isHung = true
		c.log(LogHung, i, p.number)
	}
}
