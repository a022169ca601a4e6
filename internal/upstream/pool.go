package upstream

import (
	"sync"
	"time"
)

// usualEffects is how many effects the start of an attempt has at most, but for rare cases.
const usualEffects = 2

// Pool holds the connections to one server. Core decides; the pool moves the bytes, keeps the time, and calls the core under its
// lock. Its methods never wait for a socket and are safe for concurrent use.
//
// Each connection that is being opened has one goroutine, which ends with the dial, and each established one has two, a reader and a
// writer, which end once the core has closed the connection. After Update with isDraining the core closes each connection as soon
// as nothing is in flight on it.
type Pool struct {
	codec          Codec
	connectTimeout time.Duration
	reportOutcome  func(*Attempt, Response)
	opened         func()

	mu       sync.Mutex // guards core, including all of its connections, and the two fields of the timer
	core     *Core
	timer    *time.Timer
	timerSet time.Time // when the timer fires; zero while it is not running
}

// NewPool returns a pool for the server at an address. reportOutcome is called from goroutines of the pool, once for each attempt
// that Send accepted and that is neither abandoned nor withdrawn nor returned by Update; opened is called for each established
// connection.
func NewPool(addr string, codec Codec, limits Limits, budget *DescriptorBudget, reportOutcome func(*Attempt, Response),
	opened func()) *Pool {
	p := &Pool{codec: codec, connectTimeout: limits.ConnectTimeout, reportOutcome: reportOutcome, opened: opened,
		core: NewCore(addr, codec, limits, budget)}
	p.core.Owner = p
	return p
}

// Send starts an attempt. If it returns false the attempt has already ended with the returned outcome.
func (p *Pool) Send(attempt *Attempt) (Outcome, bool) {
	effects := make(Effects, 0, usualEffects)
	p.mu.Lock()
	outcome, ok := p.core.Send(time.Now(), attempt, &effects)
	p.setTimer()
	p.mu.Unlock()
	p.carryOut(effects, true)
	return outcome, ok
}

// Abandon gives an attempt up: its outcome is not reported. It reports whether the attempt may have been executed. The connection is
// closed, which tells the server, unless other attempts wait for responses on it.
func (p *Pool) Abandon(attempt *Attempt) (possiblyExecuted bool) {
	p.call(func(now time.Time, effects *Effects) { possiblyExecuted = p.core.Abandon(now, attempt, effects) })
	return possiblyExecuted
}

// Withdraw abandons an attempt if nothing of it was written, and reports whether it did.
func (p *Pool) Withdraw(attempt *Attempt) (withdrawn bool) {
	p.call(func(now time.Time, effects *Effects) { withdrawn = p.core.Withdraw(now, attempt, effects) })
	return withdrawn
}

// CloseIdle closes the connections without attempts.
func (p *Pool) CloseIdle() {
	p.call(func(now time.Time, effects *Effects) { p.core.CloseIdle(now, effects) })
}

// Update sets the server's address and whether it drains. It returns the attempts of which nothing was written to a server that
// drains: they end as ServerDraining, which is not reported.
func (p *Pool) Update(addr string, isDraining bool) (unwritten []*Attempt) {
	p.call(func(now time.Time, effects *Effects) { unwritten = p.core.Update(now, addr, isDraining, effects) })
	return unwritten
}

// call makes one call of the core for the node's event loop and carries out its effects.
func (p *Pool) call(callCore func(now time.Time, effects *Effects)) {
	var effects Effects
	p.mu.Lock()
	callCore(time.Now(), &effects)
	p.setTimer()
	p.mu.Unlock()
	p.carryOut(effects, true)
}

// setTimer makes the timer fire when the core wants to be called, unless it fires earlier anyway: it is then set again. What most
// calls change is the deadline of an idle connection, to later. The caller holds mu.
func (p *Pool) setTimer() {
	at := p.core.NextTimer()
	if at.IsZero() || !p.timerSet.IsZero() && !at.Before(p.timerSet) {
		return
	}
	p.timerSet = at
	if wait := time.Until(at); p.timer == nil {
		p.timer = time.AfterFunc(wait, p.handleTimers)
	} else {
		p.timer.Reset(wait)
	}
}

func (p *Pool) handleTimers() {
	var effects Effects
	p.mu.Lock()
	p.timerSet = time.Time{}
	p.core.HandleTimers(time.Now(), &effects)
	p.setTimer()
	p.mu.Unlock()
	p.carryOut(effects, false)
}

// carryOut carries effects out, in order and without the lock. onEventLoop says that the caller is the node's event loop, which
// takes the reports: a report must not be waited for then.
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
			carryOutElsewhere(effect)
		}
	}
}

// carryOutElsewhere carries out an effect that concerns a connection or a core of any pool. The caller holds no lock.
func carryOutElsewhere(effect *Effect) {
	switch effect.Kind {
	case Evict:
		owner := socketOf(effect.Conn).pool
		owner.call(func(now time.Time, effects *Effects) { owner.core.Evicted(now, effect.Conn, effects) })
	case DescriptorAvailable:
		owner := effect.Core.Owner.(*Pool)
		owner.call(func(_ time.Time, effects *Effects) { owner.core.DescriptorAvailable(effects) })
	}
}

// ResizeDescriptors changes the size of a budget that pools share, and closes the idle connections that it does not allow any more.
func ResizeDescriptors(budget *DescriptorBudget, n int) {
	var effects Effects
	budget.Resize(n, &effects)
	for i := range effects {
		carryOutElsewhere(&effects[i])
	}
}
