package admission

import "time"

// IdleTimeouts bounds how long a connection of one stage may stay idle: Long while there is capacity, Short in a crowded
// table, and a time in between while the table fills.
type IdleTimeouts struct{ Long, Short time.Duration }

// ConnectionPolicy configures a ConnectionTable.
type ConnectionPolicy struct {
	MaxConnections int // maximum number of connections in the table
	// IdleTimeouts holds the timeouts by stage. For a connection in StageRegular, Short is raised to IntervalFactor times
	// the interval between its requests, up to Long, so that a client with rare requests keeps its connection.
	IdleTimeouts   [numStages]IdleTimeouts
	IntervalFactor float64
	// CrowdedFrom and CrowdedFull are fractions of MaxConnections. While the table is filled up to CrowdedFrom, the
	// idle timeouts are IdleTimeouts.Long. They shrink as the table fills further, and are IdleTimeouts.Short from
	// CrowdedFull on.
	CrowdedFrom, CrowdedFull float64
	// MaxUnsentBytes bounds the unsent bytes of responses on all connections with a write in progress together; 0 means
	// no bound. Past it, connections whose clients read nothing for StuckTimeout are closed, the longest write first.
	MaxUnsentBytes int
	StuckTimeout   time.Duration
	// LookAhead is how far ahead the growth of the table is extrapolated: a table that grows counts as fuller than it
	// is.
	LookAhead time.Duration
}

const (
	// maxNewIdle is the longest idle time of a connection that has not sent a complete command yet, if the table of
	// connections is filled to CrowdedFull or more.
	maxNewIdle = time.Second
	// maxInvalidIdle is the longest idle time of a connection after an invalid command, if the table of connections is
	// filled to CrowdedFrom at most.
	maxInvalidIdle = 2 * time.Second
	// minRegularIdle is the shortest idle timeout of a connection with several requests, if the table is filled to
	// CrowdedFull or more. A shorter timeout could end the connection in the gap between two requests.
	minRegularIdle  = 400 * time.Millisecond
	crowdedFrom     = 0.1
	crowdedFull     = 0.4
	intervalFactor  = 4
	growthLookAhead = 250 * time.Millisecond
)

// DefaultConnectionPolicy returns the policy for a maximum number of connections and three timeouts that operators set:
// firstCommand is the time until the first complete command, idle and crowdedIdle are the idle timeouts while there is
// capacity and in a crowded table.
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
