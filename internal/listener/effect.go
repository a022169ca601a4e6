package listener

import "shelfproxy/internal/request"

// EffectKind says what a Core wants done.
type EffectKind int

// The kinds of effects.
const (
	HandleRequest      EffectKind = iota // hand Request to the handler, which may wait; what follows on the connection waits with it
	ClientDisconnected                   // the client of Request has disconnected
	WriteResponses                       // Conn has responses to write: call NextToWrite
	ResumeReading                        // Conn is no longer paused: call Resume
	CheckUnread                          // look for bytes of Conn that came and are not read, then call UnreadChecked
	HalfClose                            // end the sending side of Conn, read and discard until it ends, then call ConnectionEnded
	CloseConnection                      // close Conn
	ReportEnd                            // Conn has ended as its End says
	CapacityAvailable                    // there may be capacity for another connection: call HasCapacity
)

// Effect is one thing that a Core wants done. Effects are carried out in their order.
type Effect struct {
	Kind    EffectKind
	Conn    *Conn
	Request *request.Request
}

// Effects collects what one call of a Core wants done. The core keeps no reference to it.
type Effects []Effect

func (e *Effects) add(kind EffectKind, conn *Conn, r *request.Request) {
	*e = append(*e, Effect{kind, conn, r})
}

func (e *Effects) capacityAvailable() { e.add(CapacityAvailable, nil, nil) }
