package admission

import "time"

// QueueDelay finds out whether a queue is behind by how long items wait in it, not by how many there are: a burst that
// is worked off does not count, a queue whose shortest wait over an interval stays above the target does (CoDel; Nichols
// and Jacobson, "Controlling Queue Delay", 2012). Where CoDel drops one packet after another, this returns the fraction
// of the sheddable load to shed, which rises while the queue stays behind and falls when it no longer does.
type QueueDelay struct {
	Target   time.Duration // up to which a wait is fine
	Interval time.Duration // over which the shortest wait counts; several service times

	intervalStart Time
	isStarted     bool
	shortest      time.Duration // wait of this interval
	hasSample     bool          // in this interval
	level         float64
}

const (
	levelRise        = 0.1  // at the end of an interval, for each multiple of the target that the shortest wait is of
	maxRiseMultiple  = 4    // of the target
	levelFall        = 0.15 // at the end of an interval that is not behind
	maxIdleIntervals = 64   // after which the level is 0 in any case
)

// Observe takes the wait of an item that left the queue.
func (d *QueueDelay) Observe(now Time, wait time.Duration) {
	d.endIntervals(now)
	if !d.hasSample || wait < d.shortest {
		d.shortest, d.hasSample = wait, true
	}
}

// Level returns the fraction of the sheddable load to shed, from 0 to 1.
func (d *QueueDelay) Level(now Time) float64 {
	d.endIntervals(now)
	return d.level
}

// endIntervals ends the intervals that are over. One in which nothing left the queue says that it was empty.
func (d *QueueDelay) endIntervals(now Time) {
	if !d.isStarted {
		d.intervalStart, d.isStarted = now, true
		return
	}
	for ended := 0; now-d.intervalStart >= d.Interval; ended++ {
		if ended > maxIdleIntervals {
			d.intervalStart, d.level = now, 0
			break
		}
		d.intervalStart += d.Interval
		if d.hasSample && d.shortest > d.Target {
			d.level = min(1, d.level+levelRise*min(maxRiseMultiple, float64(d.shortest)/float64(d.Target)))
		} else {
			d.level = max(0, d.level-levelFall)
		}
		d.hasSample = false
	}
}
