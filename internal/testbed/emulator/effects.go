package emulator

import (
	"errors"
	"net"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
)

// unusableAddress is the address that a node gets for a slot whose acceptor can't be created. Nothing listens there.
const unusableAddress = "127.0.0.1:1"

// step passes an event to the model and carries out the effects. It runs in the loop. It ignores errors of acceptors; only
// advanceSystem, which carries out what the model has scheduled, logs them.
func (e *Emulator) step(now time.Duration, event model.Event) {
	_ = e.carryOut(now, e.system.Step(now, event))
}

// carryOut carries out effects of the model. It returns the joined errors of the acceptors. Other effects can't fail.
func (e *Emulator) carryOut(now time.Duration, effects []model.Effect) error {
	var failed error
	for _, effect := range effects {
		switch effect := effect.(type) {
		case model.Acceptor:
			failed = errors.Join(failed, e.setAcceptor(effect))
		case model.Reset:
			if conn := e.conns[effect.Conn]; conn != nil {
				delete(e.conns, effect.Conn)
				conn.reset()
			}
		case model.Response:
			e.respond(now, effect)
		case model.DiscoveryReply:
			e.replyToCall(now, effect)
		default:
			e.report(now, effect)
		}
	}
	return failed
}

// report passes an effect that nodes do not see to the checker of the invariants.
func (e *Emulator) report(now time.Duration, effect model.Effect) {
	switch effect := effect.(type) {
	case model.RequestExecuted:
		e.checker.RequestExecuted(now, effect.Server, effect.Request, effect.Class)
	case model.ServerOverloaded:
		e.checker.ServerOverloaded(now, effect.Server)
	case model.ServerStarted:
		e.checker.ServerStarted(effect.Server, effect.At)
	case model.ServerListed:
		e.checker.ServerListed(now, effect.Server, effect.State.String())
	case model.DiscoveryReachable:
		e.checker.DiscoveryReachable(now, effect.Up)
	}
}

// respond writes a response to its connection. A response to a request, in contrast to a health check, is first reported
// to the checker of the invariants.
func (e *Emulator) respond(now time.Duration, response model.Response) {
	if response.Request != "" {
		proof := invariants.PossiblyExecuted
		if response.WasNotExecuted() {
			proof = invariants.NotExecuted
		}
		e.checker.ResponseSent(now, response.Server, response.Request, response.Seq, proof, response.HasValue(), response.Outcome.String())
	}
	if conn := e.conns[response.Conn]; conn != nil {
		conn.respond(response)
	}
}

// setAcceptor sets the state of the acceptor of a slot for a node.
func (e *Emulator) setAcceptor(effect model.Acceptor) error {
	acceptor, err := e.acceptor(effect.Slot, effect.Node)
	if err != nil {
		return err
	}
	return acceptor.set(effect.State)
}

// acceptor returns the acceptor of a slot for a node. It creates the acceptor if there is none yet.
func (e *Emulator) acceptor(slot, node int) (*acceptor, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := acceptorKey{slot, node}
	if existing := e.acceptors[key]; existing != nil {
		return existing, nil
	}
	added, err := newAcceptor(0, func(conn net.Conn) { e.serveConnection(conn, slot, node) })
	if err == nil {
		e.acceptors[key] = added
	}
	return added, err
}

// address returns the address of a slot that the given node uses.
func (e *Emulator) address(slot, node int) string {
	acceptor, err := e.acceptor(slot, node)
	if err != nil {
		return unusableAddress
	}
	return acceptor.address
}
