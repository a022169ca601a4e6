package upstream

// EffectKind identifies the action that an Effect asks the shell to carry out.
type EffectKind int

// The kinds of effects.
const (
	Dial                EffectKind = iota // open Conn as a connection to Addr, then call Core.DialCompleted
	Write                                 // Conn has attempts to write: call Core.NextToWrite and write until it returns nil
	CloseConnection                       // close Conn, even if attempts are in flight on it
	ReportOutcome                         // report that Attempt ended with Response
	Evict                                 // call Evicted with Conn on the core that owns Conn, which may be another core
	DescriptorAvailable                   // call DescriptorAvailable on the core in the field Core, which may be another core
)

// Effect is one action that a Core asks its shell to carry out. Effects are carried out in their order.
type Effect struct {
	Kind     EffectKind
	Conn     *Conn
	Core     *Core    // set for DescriptorAvailable only
	Addr     string   // address to connect to; set for Dial only
	Attempt  *Attempt // set for ReportOutcome only
	Response Response // set for ReportOutcome only
}

// Effects collects the effects of one call of a Core. The core keeps no reference to it after the call.
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
