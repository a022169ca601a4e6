package admission

import "time"

// IdleTimeouts is how long a connection of one stage may stay idle: Long while there is capacity, Short in a table that
// is nearly full, and in between by how crowded it is.
type IdleTimeouts struct{ Long, Short time.Duration }

// ConnectionPolicy configures a ConnectionTable.
type ConnectionPolicy struct {
	MaxConnections int // at a time
	// IdleTimeouts by stage. That of StageRegular is for a connection that makes requests more often than its Short; a
	// slower one is kept for IntervalFactor of its own intervals, up to Long.
	IdleTimeouts   [numStages]IdleTimeouts
	IntervalFactor float64
	// CrowdedFrom and CrowdedFull are the fractions of MaxConnections between which the idle timeouts shrink: they are the
	// long ones up to CrowdedFrom, and the short ones from CrowdedFull on.
	CrowdedFrom, CrowdedFull float64
	// MaxUnsentBytes is how many bytes of responses may be unsent at all connections together; 0 is no bound. Past it those
	// that read nothing for StuckTimeout are closed, the one stuck for longest first.
	MaxUnsentBytes int
	StuckTimeout   time.Duration
	// LookAhead is how far the table's growth is extrapolated: a table that fills counts as fuller than it is.
	LookAhead time.Duration
}

const (
	maxNewIdle      = time.Second            // in a crowded table, for a connection that sent no command yet
	maxInvalidIdle  = 2 * time.Second        // for a connection whose last command was invalid
	minRegularIdle  = 400 * time.Millisecond // in a crowded table: regular requests have their gaps
	crowdedFrom     = 0.1
	crowdedFull     = 0.4
	intervalFactor  = 4
	growthLookAhead = 250 * time.Millisecond
)

// DefaultConnectionPolicy returns the policy for a number of connections and three times of the operators: within which
// a connection has to send its first command, how long it may be idle while there is capacity, and how long in a crowd.
func DefaultConnectionPolicy(maxConnections int, firstCommand, idle, crowdedIdle time.Duration) ConnectionPolicy {
	short := min(crowdedIdle, idle)
	withoutCommand := IdleTimeouts{Long: min(firstCommand, idle), Short: min(firstCommand, maxNewIdle)}
	return ConnectionPolicy{
		MaxConnections: maxConnections,
		IdleTimeouts: [numStages]IdleTimeouts{
			StageNew:            withoutCommand,
			StagePartialCommand: withoutCommand,
			StageGreeted:        {Long: idle, Short: short},
			StageOneRequest:     {Long: idle, Short: short},
			StageInvalid:        {Long: min(idle, maxInvalidIdle), Short: short},
			StageRegular:        {Long: idle, Short: min(idle, max(short, minRegularIdle))},
		},
		IntervalFactor: intervalFactor,
		CrowdedFrom:    crowdedFrom,
		CrowdedFull:    crowdedFull,
		LookAhead:      growthLookAhead,
	}
}
