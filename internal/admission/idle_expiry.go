package admission

import (
	"math"
	"time"
)

// growthRate estimates how fast the table fills, in connections per second, over about the last growthWindow.
type growthRate struct {
	perSecond float64
	updatedAt Time
}

// growthWindow is the time constant of the rate in seconds: after this time, an accepted or closed connection counts
// only 1/e as much.
const growthWindow = 0.5

func (g *growthRate) record(now Time, connections float64) {
	g.perSecond = g.at(now) + connections/growthWindow
	g.updatedAt = now
}

func (g *growthRate) at(now Time) float64 {
	return g.perSecond * math.Exp(-(now-g.updatedAt).Seconds()/growthWindow)
}

// Crowding returns how crowded the table is, from 0 to 1: at 0 connections have the timeouts IdleTimeouts.Long, at 1
// IdleTimeouts.Short.
func (t *ConnectionTable) Crowding(now Time) float64 {
	policy := t.policy
	expected := float64(t.Len()-t.closing) + max(0, t.growth.at(now))*policy.LookAhead.Seconds()
	fill := expected / float64(max(1, policy.MaxConnections))
	return min(1, max(0, (fill-policy.CrowdedFrom)/(policy.CrowdedFull-policy.CrowdedFrom)))
}

// idleTimeout returns how long the connections of a queue may stay idle. It interpolates between the long and the short
// timeout on a logarithmic scale: equal steps of the crowding shrink the timeout by equal factors.
func (t *ConnectionTable) idleTimeout(queue int, crowding float64) time.Duration {
	stage := Stage(min(queue, int(StageRegular)))
	timeouts := t.policy.IdleTimeouts[stage]
	if stage == StageRegular {
		interval := t.policy.IntervalFactor * classSeconds(queue-int(numStages))
		timeouts.Short = min(timeouts.Long, max(timeouts.Short, time.Duration(interval*float64(time.Second))))
	}
	logLong, logShort := math.Log(float64(timeouts.Long)), math.Log(float64(max(timeouts.Short, 1)))
	return time.Duration(math.Exp((1-crowding)*logLong + crowding*logShort))
}

// ExpireIdle marks for closing the connections whose idle timeout has expired, at most limit of them, and returns their
// ids.
func (t *ConnectionTable) ExpireIdle(now Time, limit int) (ids []uint64) {
	crowding := t.Crowding(now)
	for i := range t.queues {
		timeout := t.idleTimeout(i, crowding)
		for len(ids) < limit {
			head := t.queues[i].head
			if head == nil || now-head.idleSince < timeout {
				break
			}
			ids = append(ids, t.markForClosing(head))
		}
	}
	return ids
}

// NextExpiry returns when the next idle timeout expires, if nothing else happens before; ok is false if no connection is
// idle.
func (t *ConnectionTable) NextExpiry(now Time) (at Time, ok bool) {
	at = Time(math.MaxInt64)
	crowding := t.Crowding(now)
	for i := range t.queues {
		if head := t.queues[i].head; head != nil {
			at, ok = min(at, head.idleSince+t.idleTimeout(i, crowding)), true
		}
	}
	return at, ok
}
