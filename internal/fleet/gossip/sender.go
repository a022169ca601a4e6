package gossip

import "time"

const (
	// fullSampleAttempts is the number of recent attempts at a server up to which all are sent, and past which fewer.
	fullSampleAttempts = 6.0
	// intervalPerNode bounds what each node receives: 200 datagrams a second.
	intervalPerNode = 5 * time.Millisecond
	// minInterval is between two datagrams of one node.
	minInterval = 250 * time.Millisecond
	// keySampleInterval is the number of requests of which one key is sent: 600 keys a second from 300 nodes with 18 requests
	// a second each.
	keySampleInterval = 8
	// recentKeys is within how many of a node's requests a repeated key is sent at once.
	recentKeys = 8
	// repeatFactor is how many times as often as expected a key has to be among the recent ones to be sent at once.
	repeatFactor = 3
)

// Sender decides what a node tells the others, and when. What its methods do not sample out is collected in the Buffer. It is not
// safe for concurrent use.
//
// Methods with a parameter draw take a random number from 0 to 1, which decides about a sample.
type Sender struct {
	Buffer
	Disabled        bool // messages are not allowed: nothing is sent
	IsHealthChecker bool // this node checks the servers' health for all, so it sends recoveries at once
	FleetSize       int  // number of nodes

	nextAt     Time
	lastSentAt Time
	isUrgent   bool                    // something should be sent before nextAt
	recent     [recentKeys]Fingerprint // the keys requested last, as a ring
	requests   int                     // number of keys requested so far
}

// AttemptEnded samples an attempt at a server if it is suspect. The more recent attempts at it are known, those of other nodes
// included, the smaller is the part that is sent. Failures and successes are sampled alike, so their ratio is kept.
func (s *Sender) AttemptEnded(server *Assessment, knownAttempts float64, isFailure bool, draw float64) {
	rate := fullSampleAttempts / max(fullSampleAttempts, knownAttempts)
	if server.IsSuspect() && draw < rate*rate*rate {
		s.Buffer.AttemptEnded(server.Fingerprint, isFailure)
	}
}

// Recovered notes that a server answered that was taken for unresponsive.
func (s *Sender) Recovered(server Fingerprint) {
	s.Buffer.Recovered(server)
	s.isUrgent = s.isUrgent || s.IsHealthChecker
}

// KeyRequested samples the keys that the node is requested. One that is repeated within a few requests is sent at once, unless
// that is no more than the fraction of all requests that it is known to draw: the others must know of a key that begins to draw a
// large part before each of them has sent its first request to the same server.
func (s *Sender) KeyRequested(key Fingerprint, knownFraction, draw float64) {
	count := s.countRecent(key) + 1
	s.recent[s.requests%recentKeys] = key
	s.requests++
	isSurprising := count > 1 && float64(count) > repeatFactor*knownFraction*recentKeys
	if isSurprising || draw*keySampleInterval < 1 {
		s.Buffer.KeyRequested(key)
	}
	s.isUrgent = s.isUrgent || isSurprising
}

// countRecent returns how often a key is among the recent ones.
func (s *Sender) countRecent(key Fingerprint) int {
	count := 0
	for _, recent := range s.recent[:min(s.requests, recentKeys)] {
		if recent == key {
			count++
		}
	}
	return count
}

// NextDatagram returns a datagram for all nodes if it is time for one and there is something to send, and nil otherwise. By draw
// nodes that started together do not send together.
func (s *Sender) NextDatagram(now Time, draw float64) []byte {
	if s.Disabled {
		s.clear()
	}
	mayHurry := s.isUrgent && now-s.lastSentAt >= minInterval
	if now < s.nextAt && !mayHurry {
		return nil
	}
	interval := max(minInterval, intervalPerNode*time.Duration(s.FleetSize))
	s.nextAt = now + interval/2 + time.Duration(draw*float64(interval))
	s.isUrgent = false
	data := s.Encode()
	if data != nil {
		s.lastSentAt = now
	}
	return data
}
