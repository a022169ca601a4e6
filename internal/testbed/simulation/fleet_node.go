package simulation

import (
	"strconv"
	"time"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
)

// Settings of the rollout, membership and lease cores in a fleet's run.
const (
	fleetHeartbeatInterval = 200 * time.Millisecond
	fleetRolloutTick       = 50 * time.Millisecond
	fleetMembershipTick    = 25 * time.Millisecond
	fleetLeaseTicks        = 16 // ticks of the lease core within one lease duration
)

// fleetNode is one node of a fleet, with the lease, rollout and membership cores of its current process.
type fleetNode struct {
	fleet       *fleet
	index       int
	incarnation int
	isUp        bool
	isRemoved   bool     // the node never starts again
	isStopped   bool     // the process is stopped, as by SIGSTOP, and does nothing until it continues
	backlog     []func() // work that became due while the process was stopped, in the order of the due times
	startedAt   Time
	clockRate   float64       // rate of the process's clock relative to the run's clock
	clockOffset time.Duration // offset of the machine's clock from the run's clock
	starts      uint64

	lease            *lease.Core
	rollout          *rollout.Core
	membership       *membership.Core
	installedRelease string // release that the next process will run
	runningRelease   string
	budget           int
	isOut            bool // the node has left service by a granted drain, and its next process is not ready yet
	wantsDrain       bool // an operator asked the node to drain, and it has not done so yet
	isEnding         bool
}

// schedule runs work of the current process after a delay. The work is dropped if the process has ended by then, and deferred
// while the process is stopped.
func (n *fleetNode) schedule(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.fleet.after(delay, func() {
		switch {
		case n.incarnation != incarnation:
		case n.isStopped:
			n.backlog = append(n.backlog, run)
		default:
			run()
		}
	})
}

// clock returns the time since the process's start on its own clock, which may run fast or slow.
func (n *fleetNode) clock() time.Duration {
	return time.Duration(float64(n.fleet.now-n.startedAt) * n.clockRate)
}

// must returns its first argument. It panics if err is not nil, which would be a bug of the simulation: the configurations that it
// gives to the cores are valid.
func must[Core any](core Core, err error) Core {
	if err != nil {
		panic(err)
	}
	return core
}

// start starts the node's next process, unless one is running or the node was removed.
func (n *fleetNode) start() {
	if n.isUp || n.isRemoved {
		return
	}
	n.incarnation++
	n.starts++
	n.isUp, n.isStopped, n.isEnding = true, false, false
	n.backlog = nil
	n.startedAt = n.fleet.now
	n.runningRelease = n.installedRelease
	n.fleet.logEvent("start", strconv.Itoa(n.index), n.runningRelease)
	n.startCores()
	n.stepRollout(rollout.ServingStarted{})
	n.tick(fleetLeaseDuration/fleetLeaseTicks, func() { n.stepLease(lease.Tick{}) })
	n.tick(fleetRolloutTick, func() { n.stepRollout(rollout.Tick{}) })
	n.tick(fleetMembershipTick, func() { n.stepMembership(membership.Tick{}) })
}

// startCores creates the lease, rollout and membership cores of a process that starts now.
func (n *fleetNode) startCores() {
	plan := n.fleet.plan
	seed := plan.Seed*1000 + uint64(n.index)*100 + n.starts
	date := uint64(epoch.UnixMilli() + (n.fleet.now + n.clockOffset).Milliseconds())
	n.lease = must(lease.New(lease.Config{
		Self: n.index, Nodes: plan.Nodes, PeerListID: 1, Resources: fleetResources,
		LeaseDuration: fleetLeaseDuration, MaxClockDrift: fleetMaxClockDrift, Epoch: date, Seed: seed,
	}))
	n.rollout = must(rollout.New(rollout.Config{
		Self: n.index, Nodes: plan.Nodes, Budget: n.budget,
		HeartbeatInterval: fleetHeartbeatInterval, UnresponsiveAfter: time.Second, RequestTimeout: 2 * time.Second,
		ReturnTimeout: 12 * time.Second, WriteOffAfter: 10 * time.Minute, ObservationPeriod: 500 * time.Millisecond,
		MaxClockDrift: fleetMaxClockDrift, Release: n.runningRelease,
		MaxFailureRate: 0.2, MaxSlowRate: 0.5, MinSamples: 10, Incarnation: date, Seed: seed,
	}))
	n.membership = must(membership.New(membership.Config{
		Self: n.index, Nodes: plan.Nodes, PeerListID: 1, Incarnation: date,
		ProbeInterval: fleetProbeInterval, ProbeTimeout: 50 * time.Millisecond, IndirectProbes: 3, SuspicionFactor: 2, Seed: seed,
	}))
}

// tick calls run periodically until the process ends. Each call is late by a random delay of up to MaxLag.
func (n *fleetNode) tick(every time.Duration, run func()) {
	n.schedule(every+n.fleet.drawBetween(0, n.fleet.plan.MaxLag), func() {
		run()
		n.tick(every, run)
	})
}

// stepLease gives the lease core an event and executes its effects.
func (n *fleetNode) stepLease(event lease.Event) {
	for _, effect := range n.lease.Step(n.clock(), event) {
		switch e := effect.(type) {
		case lease.Send:
			n.send(e.To, e.Data)
		case lease.Acquired:
			n.fleet.logEvent("held", strconv.Itoa(n.index), e.Resource, strconv.FormatUint(e.Token, 10))
			n.schedule(n.fleet.drawBetween(0, 200*time.Millisecond), func() { n.stepLease(lease.Announce{Resource: e.Resource}) })
		case lease.Lost:
			n.fleet.logEvent("lost", strconv.Itoa(n.index), e.Resource)
		case lease.LogEvent:
			n.fleet.logEvent("duty-"+e.Kind.String(), strconv.Itoa(n.index), e.Resource, strconv.Itoa(e.Node), strconv.FormatUint(e.Token, 10), e.Reason.String())
		}
	}
}

// stepRollout gives the rollout core an event and executes its effects.
func (n *fleetNode) stepRollout(event rollout.Event) {
	for _, effect := range n.rollout.Step(n.clock(), event) {
		switch e := effect.(type) {
		case rollout.Send:
			n.send(e.To, e.Data)
		case rollout.DrainGranted:
			n.fleet.logEvent("may-go", strconv.Itoa(n.index))
			if n.fleet.now < fleetNetworkFaultsEnd && n.fleet.chance(n.fleet.plan.SuspendAtGrant) {
				n.suspend(n.fleet.drawBetween(0, 6*time.Second))
			}
			n.schedule(n.fleet.drawBetween(0, n.fleet.plan.MaxLag), n.drain)
		case rollout.LogEvent:
			n.fleet.logEvent(e.Kind.String(), strconv.Itoa(n.index), strconv.Itoa(e.Node), e.Reason.String())
			switch {
			case e.Kind == rollout.LogNodeReady && e.Node == n.index:
				n.isOut = false
			case e.Kind == rollout.LogHalted && e.Reason != rollout.ReasonOperator:
				n.fleet.haltedForHealth = true // no operator resumes a rollout that halted for such a reason, so at the end of the run nodes may still wait to drain
			}
		}
	}
}

// stepMembership gives the membership core an event and executes its effects.
func (n *fleetNode) stepMembership(event membership.Event) {
	for _, effect := range n.membership.Step(n.clock(), event) {
		switch e := effect.(type) {
		case membership.Send:
			n.send(e.To, e.Data)
		case membership.StateChanged:
			n.fleet.logEvent("member", strconv.Itoa(n.index), strconv.Itoa(e.Node), e.To.String())
		}
	}
}

// drain carries out a granted drain, if the grant is still valid: it shuts the process down. The next process runs the installed
// release.
func (n *fleetNode) drain() {
	if n.isEnding || !n.rollout.MayDrain(n.clock()) {
		return
	}
	n.fleet.logEvent("goes", strconv.Itoa(n.index))
	n.isOut, n.wantsDrain = true, false
	n.shutDown()
}

// shutDown ends the process gracefully. The node's next process starts some time later.
func (n *fleetNode) shutDown() {
	if n.isEnding {
		return
	}
	n.isEnding = true
	n.stepRollout(rollout.ShutdownStarted{})
	n.stepLease(lease.Resign{})
	n.stepMembership(membership.ShutdownStarted{})
	n.schedule(n.fleet.drawBetween(100*time.Millisecond, time.Second), func() {
		n.kill()
		n.fleet.after(n.fleet.drawBetween(50*time.Millisecond, 3*time.Second), n.start)
	})
}

// kill ends the process at once.
func (n *fleetNode) kill() {
	if !n.isUp {
		return
	}
	n.fleet.logEvent("end", strconv.Itoa(n.index))
	n.isUp, n.isStopped = false, false
	n.backlog = nil
	n.wantsDrain = false // the next process does not know of an operator's drain request
	n.incarnation++
}

// suspend stops the process for a while, as SIGSTOP and SIGCONT do.
func (n *fleetNode) suspend(span time.Duration) {
	if !n.isUp || n.isStopped {
		return
	}
	n.fleet.logEvent("stopped", strconv.Itoa(n.index))
	n.isStopped = true
	incarnation := n.incarnation
	n.fleet.after(span, func() {
		if n.incarnation != incarnation || !n.isStopped {
			return
		}
		n.fleet.logEvent("goes-on", strconv.Itoa(n.index))
		n.isStopped = false
		backlog := n.backlog
		n.backlog = nil
		for _, run := range backlog {
			n.schedule(n.fleet.drawBetween(0, time.Millisecond), run) // within 1 ms, the timers and datagrams that became due while the process was stopped run in random order
		}
	})
}
