package admission

import "time"

// QueueDelay detects a standing queue by how long items wait in it, not by how many there are (CoDel; Nichols and
// Jacobson, "Controlling Queue Delay", 2012). A queue is behind if the shortest wait over an interval exceeds the
// target; a burst that is soon served does not count. Where CoDel drops single packets, QueueDelay returns the fraction
// of the sheddable load to shed, the level. The level rises while the queue stays behind, and falls otherwise.
type QueueDelay struct {
	Target   time.Duration // longest wait that is acceptable
	Interval time.Duration // time over which the shortest wait is taken; should be several times as long as serving one item takes

	intervalStart Time
	isStarted     bool
	shortest      time.Duration // shortest wait in this interval
	hasSample     bool          // an item left the queue in this interval
	level         float64       // fraction of the sheddable load to shed
}

const (
	levelRise        = 0.1  // after an interval whose shortest wait exceeds Target, the level rises by levelRise * shortest wait / Target
	maxRiseMultiple  = 4    // the level rises by at most maxRiseMultiple * levelRise after one interval
	levelFall        = 0.15 // fall of the level after an interval whose shortest wait is at most Target, or in which no item left the queue
	maxIdleIntervals = 64   // after more than about this many intervals without a call the level is set to 0, instead of ending the intervals one by one
)

// Observe records how long an item that has just left the queue waited in it.
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

// endIntervals ends the intervals that have passed, and adjusts the level after each. After an interval in which no
// item left the queue the level falls, as the queue was empty.
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
