package gossip

import "time"

// Time is a point in time on the caller's clock.
type Time = time.Duration

const (
	// ejectionExcess is the excess utilisation above which a server gives up slots. A server's excess is its own utilisation
	// minus the utilisation of all servers together.
	ejectionExcess = 0.3
	// minKeptFraction is the fraction of its slots that every server keeps, so that its recovery is noticed.
	minKeptFraction = 0.05
	// suspectExcess is the excess utilisation above which the other nodes are told about a server.
	suspectExcess = 0.1
	// corroborationWindow is the time within which two nodes have to report a server unresponsive to corroborate each other.
	corroborationWindow = 2 * time.Second
)

// noNode is the value of lastReportFrom while no node has reported.
const noNode = -1

// Assessment is a node's assessment of one server. It rests on the node's own attempts and on those that other nodes reported. It
// is not safe for concurrent use.
type Assessment struct {
	Fingerprint  Fingerprint
	KeptFraction float64 // fraction of its slots that the server keeps: 1 unless it is an outlier

	minKept        float64 // lower bound of KeptFraction while too much of the fleet is ejected
	excess         float64 // utilisation of the server minus that of all servers together
	lastReportAt   Time    // when another node last reported the server unresponsive
	lastReportFrom int     // index of the node that sent the last report
}

// NewAssessment returns the assessment of a server about which nothing is known yet.
func NewAssessment(server Fingerprint) Assessment {
	return Assessment{Fingerprint: server, KeptFraction: 1, lastReportFrom: noNode}
}

// Update sets the utilisation of this server and of all servers. A server keeps all its slots unless it is slow or fails far more
// often than the others. A problem that affects all servers is not the fault of any single one.
func (a *Assessment) Update(utilisation, ofAll float64) {
	a.excess = utilisation - ofAll
	a.updateKeptFraction()
}

// EjectionFraction returns the fraction of its slots that the server would give up by its utilisation if LimitEjection set no
// bound.
func (a *Assessment) EjectionFraction() float64 {
	return 1 - max(minKeptFraction, min(1, 2-a.excess/ejectionExcess))
}

// IsSuspect reports whether the server does so much worse than other servers that the other nodes are told about it.
func (a *Assessment) IsSuspect() bool { return a.excess > suspectExcess }

// LimitEjection sets an upper bound for the fraction of its slots that the server gives up from now on.
func (a *Assessment) LimitEjection(maxEjected float64) {
	a.minKept = 1 - maxEjected
	a.updateKeptFraction()
}

func (a *Assessment) updateKeptFraction() {
	a.KeptFraction = max(a.minKept, 1-a.EjectionFraction())
}

// Corroborate records another node's report that the server is unresponsive, and returns whether the report is corroborated: by a
// failed attempt of this node, or by a second node's report within corroborationWindow. Without this rule a single node that is
// cut off from a server would take the server away from all other nodes.
func (a *Assessment) Corroborate(now Time, from int, ownAttemptFailed bool) bool {
	hasOtherReporter := a.lastReportFrom > noNode && a.lastReportFrom != from
	isCorroborated := hasOtherReporter && now-a.lastReportAt < corroborationWindow
	a.lastReportAt, a.lastReportFrom = now, from
	return ownAttemptFailed || isCorroborated
}
