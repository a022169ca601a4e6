package gossip

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

const (
	outlier   = 0.3                    // utilisation over that of all servers from which one gives slots up
	keepLeast = 0.05                   // share of its slots that one keeps, or nobody would see it mend
	doubt     = 0.1                    // utilisation over that of all from which others are told of it
	sample    = 6.0                    // recent timings of a server past which fewer are told
	pace      = 5 * time.Millisecond   // between the datagrams of two nodes: each hears 200 a second at most
	soonest   = 250 * time.Millisecond // between two datagrams of one node
	oneIn     = 8                      // requests of which one is told: 600 keys a second from 300 nodes of 18 requests
	near      = 8                      // own requests within which a key that comes again is told at once
	surprise  = 3                      // times the share known that it must draw of them
	together  = 2 * time.Second        // two nodes that tell within it that a server is silent agree
)

// Assessment is what a node makes of one server from its own timings and those that it was told of.
type Assessment struct {
	Fingerprint  Fingerprint
	KeptFraction float64 // share of its slots that the server keeps: 1 unless it is an outlier

	least  float64 // below which Keep may not be, for a fleet of which too much is out
	excess float64 // utilisation over that of all servers
	toldAt Time    // when another node last told that it is silent
	toldBy int     // that node
}

// NewAssessment is that of a server nothing is known of.
func NewAssessment(m Fingerprint) Assessment {
	return Assessment{Fingerprint: m, KeptFraction: 1, toldBy: -1}
}

// Update takes the share of bad timings of this server and of all. A server keeps all its slots unless it is slow or
// fails far more often than the others do: what is bad everywhere is a crowd and no one server's fault.
func (o *Assessment) Update(bad, all float64) {
	o.excess = bad - all
	o.KeptFraction = max(o.least, 1-o.EjectionFraction())
}

// EjectionFraction is the part of its slots that the server would give up by how it does.
func (o *Assessment) EjectionFraction() float64 {
	return 1 - max(keepLeast, min(1, 2-o.excess/outlier))
}

// IsSuspect tells whether it does worse than the others do, by so much that they are told of it.
func (o *Assessment) IsSuspect() bool { return o.excess > doubt }

// LimitEjection lets it give up no more than so much of its slots, from now on.
func (o *Assessment) LimitEjection(most float64) {
	o.least = 1 - most
	o.KeptFraction = max(o.least, 1-o.EjectionFraction())
}

// Corroborate takes it that another node believes the server silent, and tells whether to believe it: where this node's
// own attempt failed, or where a second node says so.
func (o *Assessment) Corroborate(now Time, from int, failed bool) bool {
	second := o.toldBy >= 0 && o.toldBy != from && now-o.toldAt < together
	o.toldAt, o.toldBy = now, from
	return failed || second
}

// Sender decides what a node tells the others, and when.
type Sender struct {
	Buffer
	Disabled        bool // messages are not allowed: nothing is told
	IsHealthChecker bool // signs of life are told at once: this node looks for them in place of all
	FleetSize       int  // of the fleet
	at              Time
	last            Time              // when something was told
	now             bool              // something is worth telling before its time
	own             [near]Fingerprint // keys that this node was asked for last, as a ring
	next            int
}

// AttemptEnded notes an attempt at a server under doubt. The more timings of it there were of late, told ones too, the smaller
// is the share of them that is told; the lot is drawn from 0 to 1. Good and bad are told alike, so the share is true.
func (t *Sender) AttemptEnded(o *Assessment, timings float64, bad bool, lot float64) {
	p := sample / max(sample, timings)
	if o.excess > doubt && lot < p*p*p {
		t.Buffer.AttemptEnded(o.Fingerprint, bad)
	}
}

// Recovered notes a sign of life of a server that was believed down.
func (t *Sender) Recovered(m Fingerprint) {
	t.Buffer.Recovered(m)
	t.now = t.now || t.IsHealthChecker
}

// KeyRequested tells a part of the keys that the node is asked for; the lot is drawn from 0 to 1. One that it was asked for a
// moment ago is told at once, unless that is no more than the share of all requests that it is known to draw: the others
// must hear of a key that begins to draw a large part before each of them has sent its first one to the same server.
func (t *Sender) KeyRequested(key Fingerprint, share, lot float64) {
	n := 1
	for _, k := range t.own[:min(t.next, near)] {
		if k == key {
			n++
		}
	}
	t.own[t.next%near] = key
	t.next++
	news := n > 1 && float64(n) > surprise*share*near
	if news || lot*oneIn < 1 {
		t.Buffer.KeyRequested(key)
	}
	t.now = t.now || news
}

// NextDatagram returns a datagram when it is time for one and there is something to tell. The lot, from 0 to 1, keeps nodes
// that started together from speaking together.
func (t *Sender) NextDatagram(now Time, lot float64) []byte {
	if t.Disabled {
		t.notes, t.keys = nil, nil
	}
	if now < t.at && !(t.now && now-t.last >= soonest) {
		return nil
	}
	every := max(soonest, pace*time.Duration(t.FleetSize))
	t.at, t.now = now+every/2+time.Duration(lot*float64(every)), false
	data := t.Encode()
	if data != nil {
		t.last = now
	}
	return data
}
