package gossip

import "time"

// Time is a point in time on the caller's clock.
type Time = time.Duration

const (
	// ejectionExcess is the excess above which a server gives up slots, which are groups of keys. A server's excess is its
	// utilisation (the fraction of its answers that were slow or failed) minus the utilisation of all servers together.
	ejectionExcess = 0.3
	// minKeptFraction is the fraction of its slots (groups of keys) that even the worst server keeps. The requests for these
	// slots show when the server has recovered.
	minKeptFraction = 0.05
	// suspectExcess is the excess above which the other nodes are told about attempts at a server. The excess is the fraction of
	// the server's answers that were slow or failed, minus that fraction for all servers together.
	suspectExcess = 0.1
	// corroborationWindow bounds the time between two nodes' reports that a server is unresponsive. The second report confirms
	// the first one only if it comes within this time.
	corroborationWindow = 2 * time.Second
)

// noNode is the value of Assessment.lastReportFrom before any other node has reported the server unresponsive.
const noNode = -1

// Assessment says how much worse one server is than all servers together, as seen by this node. The node uses its own attempts
// and the attempts that other nodes reported. An Assessment is not safe for concurrent use.
type Assessment struct {
	Fingerprint  Fingerprint
	KeptFraction float64 // fraction of its slots (groups of keys) that the server keeps: 1 unless it is far worse than the others

	minKept        float64 // lower bound of KeptFraction; keeps all servers together from giving up too many slots
	excess         float64 // fraction of the server's answers that were slow or failed, minus that fraction for all servers together
	lastReportAt   Time    // when another node last reported the server unresponsive
	lastReportFrom int     // index of the node that last reported the server unresponsive
}

// NewAssessment returns the assessment of a server about which nothing is known yet.
func NewAssessment(server Fingerprint) Assessment {
	return Assessment{Fingerprint: server, KeptFraction: 1, lastReportFrom: noNode}
}

// Update sets the utilisation of this server and of all servers together. The utilisation is the fraction of answers that were
// slow or failed. A server keeps all its slots unless its utilisation is far above that of all servers. So a problem that affects
// all servers alike takes slots from none of them.
func (a *Assessment) Update(utilisation, ofAll float64) {
	a.excess = utilisation - ofAll
	a.updateKeptFraction()
}

// EjectionFraction returns the fraction of its slots that the server would give up because it is worse than the others, if
// LimitEjection set no bound.
func (a *Assessment) EjectionFraction() float64 {
	return 1 - max(minKeptFraction, min(1, 2-a.excess/ejectionExcess))
}

// IsSuspect reports whether the server's answers are slow or fail so much more often than those of all servers that the other
// nodes are told about attempts at the server.
func (a *Assessment) IsSuspect() bool { return a.excess > suspectExcess }

// LimitEjection sets the greatest fraction of its slots that the server may give up from now on.
func (a *Assessment) LimitEjection(maxEjected float64) {
	a.minKept = 1 - maxEjected
	a.updateKeptFraction()
}

func (a *Assessment) updateKeptFraction() {
	a.KeptFraction = max(a.minKept, 1-a.EjectionFraction())
}

// Corroborate records a report of the node with index from that the server is unresponsive. It reports whether the report is
// confirmed. The report is confirmed if an attempt of this node failed too (ownAttemptFailed), or if a different node sent such a
// report less than corroborationWindow ago. Without this rule, a single node that is cut off from a server could make all other
// nodes stop using the server.
func (a *Assessment) Corroborate(now Time, from int, ownAttemptFailed bool) bool {
	hasOtherReporter := a.lastReportFrom > noNode && a.lastReportFrom != from
	isCorroborated := hasOtherReporter && now-a.lastReportAt < corroborationWindow
	a.lastReportAt, a.lastReportFrom = now, from
	return ownAttemptFailed || isCorroborated
}
