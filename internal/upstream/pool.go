package upstream

import (
	"sync"
	"time"
)

// usualEffects is the initial capacity for the effects of starting an attempt, which rarely has more.
const usualEffects = 2

// Pool holds the connections to one server. It is the shell of a Core: the core decides, and the pool does the I/O and the
// timing, and calls the core under a lock. The methods of a Pool never wait for a socket and are safe for concurrent use.
//
// A connection that is being opened has one goroutine, which ends with the dial. An established connection has two, a reader and
// a writer, which end once the core has closed the connection. After Update with isDraining the core closes each connection as
// soon as nothing is in flight on it.
type Pool struct {
	codec          Codec
	connectTimeout time.Duration
	reportOutcome  func(*Attempt, Response)
	opened         func()

	mu           sync.Mutex // guards core, including all of its connections, timer and timerFiresAt
	core         *Core
	timer        *time.Timer
	timerFiresAt time.Time // when the timer fires; zero while it is not running
}

// NewPool returns a pool for the server at addr. reportOutcome is called from goroutines of the pool, once for each attempt that
// Send accepted and that is neither abandoned nor withdrawn nor returned by Update. opened is called for each established
// connection.
func NewPool(addr string, codec Codec, limits Limits, budgets Budgets, reportOutcome func(*Attempt, Response), opened func()) *Pool {
	p := &Pool{codec: codec, connectTimeout: limits.ConnectTimeout, reportOutcome: reportOutcome, opened: opened,
		core: NewCore(addr, codec, limits, budgets)}
	p.core.Owner = p
	return p
}

// Send starts an attempt. If it returns false, the attempt has already ended with the returned outcome.
func (p *Pool) Send(attempt *Attempt) (Outcome, bool) {
	effects := make(Effects, 0, usualEffects)
	p.mu.Lock()
	outcome, ok := p.core.Send(time.Now(), attempt, &effects)
	p.setTimer()
	p.mu.Unlock()
	p.carryOut(effects, true)
	return outcome, ok
}

// Abandon gives an attempt up, so that its outcome is not reported. It returns whether the attempt may have been executed. If
// only abandoned attempts await responses on its connection, the connection is closed, which tells the server that the responses
// are not wanted.
func (p *Pool) Abandon(attempt *Attempt) (possiblyExecuted bool) {
	p.call(func(now time.Time, effects *Effects) { possiblyExecuted = p.core.Abandon(now, attempt, effects) })
	return possiblyExecuted
}

// Withdraw abandons an attempt if nothing of it was written, and reports whether it did so.
func (p *Pool) Withdraw(attempt *Attempt) (withdrawn bool) {
	p.call(func(now time.Time, effects *Effects) { withdrawn = p.core.Withdraw(now, attempt, effects) })
	return withdrawn
}

// CloseIdle closes the connections without attempts.
func (p *Pool) CloseIdle() {
	p.call(func(now time.Time, effects *Effects) { p.core.CloseIdle(now, effects) })
}

// Update sets the server's address and whether the server drains. If it drains, Update returns the attempts of which nothing was
// written. They end as ServerDraining, without a call of reportOutcome.
func (p *Pool) Update(addr string, isDraining bool) (unwritten []*Attempt) {
	p.call(func(now time.Time, effects *Effects) { unwritten = p.core.Update(now, addr, isDraining, effects) })
	return unwritten
}

// call calls the core on behalf of the node's event loop and carries out the effects.
func (p *Pool) call(callCore func(now time.Time, effects *Effects)) {
	var effects Effects
	p.mu.Lock()
	callCore(time.Now(), &effects)
	p.setTimer()
	p.mu.Unlock()
	p.carryOut(effects, true)
}

// setTimer sets the timer to the next time at which the core has to be called. A timer that fires earlier is left as it is, and
// is set again when it fires: most calls only move the deadline of an idle connection to a later time. The caller holds mu.
func (p *Pool) setTimer() {
	at := p.core.NextTimer()
	if at.IsZero() || !p.timerFiresAt.IsZero() && !at.Before(p.timerFiresAt) {
		return
	}
	p.timerFiresAt = at
	if wait := time.Until(at); p.timer == nil {
		p.timer = time.AfterFunc(wait, p.handleTimers)
	} else {
		p.timer.Reset(wait)
	}
}

func (p *Pool) handleTimers() {
	var effects Effects
	p.mu.Lock()
	p.timerFiresAt = time.Time{}
	p.core.HandleTimers(time.Now(), &effects)
	p.setTimer()
	p.mu.Unlock()
	p.carryOut(effects, false)
}

// carryOut carries out effects in their order. The caller must not hold mu. onEventLoop says that the caller is the node's event
// loop, which also receives the reports: it must not wait for a report to be taken.
func (p *Pool) carryOut(effects Effects, onEventLoop bool) {
	for i := range effects {
		switch effect := &effects[i]; effect.Kind {
		case Dial:
			go p.dial(effect.Conn, effect.Addr)
		case Write:
			socketOf(effect.Conn).notifyWriter()
		case CloseConnection:
			socketOf(effect.Conn).close()
		case ReportOutcome:
			if attempt, response := effect.Attempt, effect.Response; onEventLoop {
				go p.reportOutcome(attempt, response)
			} else {
				p.reportOutcome(attempt, response)
			}
		case Evict, DescriptorAvailable:
			carryOutOnOwner(effect)
		}
	}
}

// carryOutOnOwner carries out an effect on the pool that owns the effect's connection or core, which may be any pool. The caller
// must not hold the lock of a pool.
func carryOutOnOwner(effect *Effect) {
	switch effect.Kind {
	case Evict:
		owner := socketOf(effect.Conn).pool
		owner.call(func(now time.Time, effects *Effects) { owner.core.Evicted(now, effect.Conn, effects) })
	case DescriptorAvailable:
		owner := effect.Core.Owner.(*Pool)
		owner.call(func(_ time.Time, effects *Effects) { owner.core.DescriptorAvailable(effects) })
	}
}

// ResizeDescriptors sets the size of a budget that pools share to n descriptors, and closes the idle connections that exceed it.
func ResizeDescriptors(budget *DescriptorBudget, n int) {
	var effects Effects
	budget.Resize(n, &effects)
	for i := range effects {
		carryOutOnOwner(&effects[i])
	}
}
