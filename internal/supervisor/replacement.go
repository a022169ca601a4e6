package supervisor

// requestReplacement records the request to replace the process of instance i.
func (c *Core) requestReplacement(i int) {
	if i >= 0 && i < len(c.instances) && !c.isStopping {
		c.instances[i].replaceRequested, c.isReplacing = true, true
	}
}

// requestAllReplacements records the request to replace the process of every instance.
func (c *Core) requestAllReplacements() {
	for i := range c.instances {
		c.instances[i].replaceRequested = !c.isStopping
	}
	c.isReplacing = !c.isStopping
}

// halt prevents further replacements from starting, because of a failed process or on an operator's request. Requests for
// replacements are kept.
func (c *Core) halt(instance, process int) {
	if !c.isHalted && !c.isStopping {
		c.isHalted = true
		c.log(LogHalted, instance, process)
	}
}

// resume lets further replacements start after a halt.
func (c *Core) resume() {
	if c.isHalted {
		c.isHalted = false
		c.log(LogResumed, noInstance, noProcess)
	}
}

// startSuccessors starts the requested replacements as long as fewer than MaxConcurrent instances are unavailable, which means
// out of service or being replaced.
func (c *Core) startSuccessors(now Time, unavailable int) {
	for i := range c.instances {
		in := &c.instances[i]
		if unavailable >= c.cfg.MaxConcurrent || !c.mayReplace(now, in) {
			continue
		}
		in.replaceRequested, in.isBeingReplaced = false, true
		unavailable++
		c.start(now, i)
	}
}

// mayReplace reports whether a requested replacement of an instance's process may start now. It does not check MaxConcurrent.
func (c *Core) mayReplace(now Time, in *instance) bool {
	return in.replaceRequested && in.isServing() && in.successor == nil && !in.isBeingReplaced && !c.isHalted && now >= in.startAfter
}

// finishReplacement ends the replacement of instance i once the new process's observation period is over and the replaced
// processes have ended.
func (c *Core) finishReplacement(i int) {
	in := &c.instances[i]
	if in.successor == nil && !in.isObserved && len(in.ending) == 0 {
		in.isBeingReplaced = false
	}
}

// reportAllReplaced logs, once, that every requested replacement is done.
func (c *Core) reportAllReplaced() {
	if c.isReplacing && !c.isHalted && !c.isAnyReplacementOpen() {
		c.isReplacing = false
		c.log(LogAllReplaced, noInstance, noProcess)
	}
}
