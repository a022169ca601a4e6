package upstream

import (
	"math/rand/v2"
	"testing"
	"time"
)

// sharedPools is the shell of many cores that share a descriptor budget. Dials complete and responses come one at a time, in a
// random order.
type sharedPools struct {
	t       *testing.T
	now     time.Time
	rng     *rand.Rand
	budget  *DescriptorBudget
	cores   []*Core
	pending []func() // events of the network that may happen next, in any order
	open    map[*Conn]bool
	dialing int
	served  int
	failed  int // number of attempts that ended with any outcome but Served
}

func newSharedPools(t *testing.T, pools, descriptors int) *sharedPools {
	p := &sharedPools{t: t, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)), budget: NewDescriptorBudget(descriptors),
		open: map[*Conn]bool{}}
	for range pools {
		p.cores = append(p.cores, NewCore("s", byteCodec{}, testLimits(1, 4), Budgets{Descriptors: p.budget}))
	}
	return p
}

// call calls a core and carries out the effects of the call.
func (p *sharedPools) call(core *Core, callCore func(effects *Effects)) {
	p.t.Helper()
	var effects Effects
	callCore(&effects)
	for _, effect := range effects {
		p.carryOut(core, effect)
	}
}

func (p *sharedPools) checkDescriptors() {
	p.t.Helper()
	if inUse := len(p.open) + p.dialing; inUse > p.budget.total {
		p.t.Fatalf("%d descriptors are in use, want at most %d", inUse, p.budget.total)
	}
}

func (p *sharedPools) carryOut(core *Core, effect Effect) {
	switch effect.Kind {
	case Dial:
		p.dialing++
		p.pending = append(p.pending, func() {
			p.dialing--
			effect.Conn.Socket = core
			p.open[effect.Conn] = true
			p.call(core, func(effects *Effects) { core.DialCompleted(p.now, effect.Conn, true, effects) })
		})
	case Write:
		p.pending = append(p.pending, func() { p.respond(core, effect.Conn) })
	case CloseConnection:
		delete(p.open, effect.Conn)
	case Evict:
		owner := effect.Conn.Socket.(*Core)
		p.call(owner, func(effects *Effects) { owner.Evicted(p.now, effect.Conn, effects) })
	case DescriptorAvailable:
		p.call(effect.Core, effect.Core.DescriptorAvailable)
	case ReportOutcome:
		if effect.Response.Outcome == Served {
			p.served++
		} else {
			p.failed++
		}
	}
}

// respond writes the next attempt of a connection and makes the server respond to it.
func (p *sharedPools) respond(core *Core, conn *Conn) {
	var attempt *Attempt
	p.call(core, func(effects *Effects) { attempt = core.NextToWrite(p.now, conn, false, effects) })
	if attempt == nil {
		return
	}
	p.call(core, func(effects *Effects) { core.WriteCompleted(p.now, conn, true, true, effects) })
	p.pending = append(p.pending, func() {
		if conn.IsClosed() {
			return
		}
		conn.Decoder.ReadBuffer()[0] = 'a'
		p.call(core, func(effects *Effects) { core.BytesReceived(p.now, conn, 1, effects) })
	})
}

// run lets the pending events of the network happen until none is left.
func (p *sharedPools) run() {
	for len(p.pending) > 0 {
		i := p.rng.IntN(len(p.pending))
		next := p.pending[i]
		p.pending = append(p.pending[:i], p.pending[i+1:]...)
		next()
		p.checkDescriptors()
	}
}

func (p *sharedPools) send(core *Core) {
	p.call(core, func(effects *Effects) {
		if _, ok := core.Send(p.now, newAttempt(p.now), effects); !ok {
			p.failed++
		}
	})
	p.checkDescriptors()
}

// TestManyPoolsKeepTheDescriptorBudget guards against the fault of report 7e0653: each pool had two descriptors of its own, and
// thousands of pools had more than the process may open.
func TestManyPoolsKeepTheDescriptorBudget(t *testing.T) {
	const pools, descriptors, rounds = 300, 7, 3
	p := newSharedPools(t, pools, descriptors)
	for range rounds {
		for _, core := range p.cores { // all pools send at once: most have to wait for a descriptor
			p.send(core)
		}
		p.run()
	}
	if p.served != rounds*pools || p.failed > 0 {
		t.Errorf("%d attempts were served and %d ended otherwise, want %d and none", p.served, p.failed, rounds*pools)
	}
	if busy, exhausted := p.budget.Usage(); busy != 0 || exhausted == 0 {
		t.Errorf("%d descriptors are busy in the end and %d connections waited, want none and some", busy, exhausted)
	}
}

// TestSmallerDescriptorBudgetClosesIdleConnections checks that a smaller budget closes idle connections at once, beginning with
// those that have been idle longest.
func TestSmallerDescriptorBudgetClosesIdleConnections(t *testing.T) {
	p := newSharedPools(t, 6, 6)
	for _, core := range p.cores {
		p.send(core)
	}
	p.run()
	var effects Effects
	p.budget.Resize(2, &effects)
	for _, effect := range effects {
		p.carryOut(nil, effect)
	}
	p.checkDescriptors()
	if got := len(p.open); got != 2 {
		t.Errorf("%d connections are open in a budget of 2", got)
	}
	if got := p.cores[5].Connections(); got != 1 {
		t.Errorf("the connection used last is closed, want it to stay")
	}
}
