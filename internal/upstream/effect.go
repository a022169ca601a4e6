package upstream

// EffectKind says what a Core wants done.
type EffectKind int

// The kinds of effects.
const (
	Dial                EffectKind = iota // open Conn to Addr, then call DialCompleted
	Write                                 // Conn has attempts to write: call NextToWrite until it returns none
	CloseConnection                       // close Conn, with whatever is in flight on it
	ReportOutcome                         // Attempt ended with Response
	Evict                                 // call Evicted with Conn, which may be another core's
	DescriptorAvailable                   // call DescriptorAvailable of Core, which may be another one
)

// Effect is one thing that a Core wants done. Effects are carried out in their order.
type Effect struct {
	Kind     EffectKind
	Conn     *Conn
	Core     *Core    // of DescriptorAvailable
	Addr     string   // of Dial
	Attempt  *Attempt // of ReportOutcome
	Response Response // of ReportOutcome
}

// Effects collects what one call of a Core wants done. The core keeps no reference to it.
type Effects []Effect

func (e *Effects) dial(conn *Conn, addr string) {
	*e = append(*e, Effect{Kind: Dial, Conn: conn, Addr: addr})
}

func (e *Effects) write(conn *Conn) { *e = append(*e, Effect{Kind: Write, Conn: conn}) }

func (e *Effects) closeConnection(conn *Conn) {
	*e = append(*e, Effect{Kind: CloseConnection, Conn: conn})
}

func (e *Effects) evict(conn *Conn) { *e = append(*e, Effect{Kind: Evict, Conn: conn}) }

func (e *Effects) descriptorAvailable(core *Core) {
	*e = append(*e, Effect{Kind: DescriptorAvailable, Core: core})
}

func (e *Effects) report(attempt *Attempt, response Response) {
	*e = append(*e, Effect{Kind: ReportOutcome, Attempt: attempt, Response: response})
}

func (e *Effects) reportOutcome(attempt *Attempt, outcome Outcome) {
	e.report(attempt, Response{Outcome: outcome})
}
