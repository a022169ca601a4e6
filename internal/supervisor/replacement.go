package supervisor

// requestReplacement asks for one instance to be replaced.
func (c *Core) requestReplacement(i int) {
	if i >= 0 && i < len(c.instances) && !c.isStopping {
		c.instances[i].replaceRequested, c.isReplacing = true, true
	}
}

// requestAllReplacements asks for every instance to be replaced.
func (c *Core) requestAllReplacements() {
	for i := range c.instances {
		c.instances[i].replaceRequested = !c.isStopping
	}
	c.isReplacing = !c.isStopping
}

// halt stops replacing on account of a process, or of an operator. The requests stay.
func (c *Core) halt(instance, process int) {
	if !c.isHalted && !c.isStopping {
		c.isHalted = true
		c.log(LogHalted, instance, process)
	}
}

// resume continues replacing after a halt.
func (c *Core) resume() {
	if c.isHalted {
		c.isHalted = false
		c.log(LogResumed, noInstance, noProcess)
	}
}

// startSuccessors starts replacing instances for which this was requested, as long as fewer than MaxConcurrent are unavailable.
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

// mayReplace reports whether a successor of an instance's process may be started now, as far as that instance is concerned.
func (c *Core) mayReplace(now Time, in *instance) bool {
	return in.replaceRequested && in.isServing() && in.successor == nil && !in.isBeingReplaced && !c.isHalted && now >= in.startAfter
}

// finishReplacement ends a replacement once the successor is trusted and its predecessors have ended.
func (c *Core) finishReplacement(i int) {
	in := &c.instances[i]
	if in.successor == nil && !in.isObserved && len(in.ending) == 0 {
		in.isBeingReplaced = false
	}
}

// reportAllReplaced says, once, that every requested replacement is done.
func (c *Core) reportAllReplaced() {
	if c.isReplacing && !c.isHalted && !c.isAnyReplacementOpen() {
		c.isReplacing = false
		c.log(LogAllReplaced, noInstance, noProcess)
	}
}
