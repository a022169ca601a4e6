package listener

import "shelfproxy/internal/request"

// EffectKind is a kind of work that a Core asks its shell to do.
type EffectKind int

// The kinds of effects.
const (
	HandleRequest      EffectKind = iota // hand Request to the handler, which may block; later commands of the connection then wait
	ClientDisconnected                   // the client of Request has disconnected
	WriteResponses                       // responses of Conn are ready: call NextToWrite
	ResumeReading                        // Conn is no longer paused: call Resume
	CheckUnread                          // check whether Conn has unread bytes; if not, half-close it if ClosesUnlessUnread says so; then call UnreadChecked
	HalfClose                            // close the sending side of Conn, discard further bytes from it, and call ConnectionEnded at its end
	CloseConnection                      // close Conn
	ReportEnd                            // Conn has ended: count and log Conn.End
	ScheduleTurns                        // call GrantTurns after TurnInterval
	CapacityAvailable                    // there may be capacity for another connection: call HasCapacity
)

// Effect is one piece of work for the shell. Effects are carried out in order.
type Effect struct {
	Kind    EffectKind
	Conn    *Conn
	Request *request.Request
}

// Effects collects the effects of one call of a Core. The core keeps no reference to it.
type Effects []Effect

func (e *Effects) add(kind EffectKind, conn *Conn, r *request.Request) {
	*e = append(*e, Effect{kind, conn, r})
}

func (e *Effects) capacityAvailable() { e.add(CapacityAvailable, nil, nil) }
