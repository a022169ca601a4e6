package gossip

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

const (
	// ejectionExcess is the excess utilisation from which on a server gives up slots.
	ejectionExcess = 0.3
	// minKeptFraction of its slots remains with every server, so that its recovery is seen.
	minKeptFraction = 0.05
	// suspectExcess is the excess utilisation from which on the other nodes are told of a server.
	suspectExcess = 0.1
	// corroborationWindow is within how long two nodes have to report a server unresponsive to corroborate each other.
	corroborationWindow = 2 * time.Second
)

// noNode stands for the index of a node where there was none.
const noNode = -1

// Assessment is a node's assessment of one server by its own attempts and by those that it was told of. It is not safe for
// concurrent use.
type Assessment struct {
	Fingerprint  Fingerprint
	KeptFraction float64 // of its slots that the server keeps: 1 unless it is an outlier

	minKept        float64 // bound on KeptFraction while too much of the fleet is ejected
	excess         float64 // utilisation above that of all servers
	lastReportAt   Time    // when another node last reported the server unresponsive
	lastReportFrom int     // that node
}

// NewAssessment returns the assessment of a server of which nothing is known.
func NewAssessment(server Fingerprint) Assessment {
	return Assessment{Fingerprint: server, KeptFraction: 1, lastReportFrom: noNode}
}

// Update takes the utilisation of this server and of all servers. A server keeps all its slots unless it is slow or fails far more
// often than the others: what affects all of them is no single server's fault.
func (a *Assessment) Update(utilisation, ofAll float64) {
	a.excess = utilisation - ofAll
	a.updateKeptFraction()
}

// EjectionFraction is the fraction of its slots that the server would give up by its utilisation alone.
func (a *Assessment) EjectionFraction() float64 {
	return 1 - max(minKeptFraction, min(1, 2-a.excess/ejectionExcess))
}

// IsSuspect reports whether the server does so much worse than the others that they are told of it.
func (a *Assessment) IsSuspect() bool { return a.excess > suspectExcess }

// LimitEjection bounds the fraction of its slots that the server gives up from now on.
func (a *Assessment) LimitEjection(maxEjected float64) {
	a.minKept = 1 - maxEjected
	a.updateKeptFraction()
}

func (a *Assessment) updateKeptFraction() {
	a.KeptFraction = max(a.minKept, 1-a.EjectionFraction())
}

// Corroborate takes the report of another node that the server is unresponsive, and reports whether it is corroborated: by this
// node's own failed attempt, or by a second node's report of late. So one node that is cut off takes no server from the others.
func (a *Assessment) Corroborate(now Time, from int, ownAttemptFailed bool) bool {
	hasOtherReporter := a.lastReportFrom > noNode && a.lastReportFrom != from
	isCorroborated := hasOtherReporter && now-a.lastReportAt < corroborationWindow
	a.lastReportAt, a.lastReportFrom = now, from
	return ownAttemptFailed || isCorroborated
}
