package gossip

import "time"

const (
	// fullSampleAttempts is a number of recent attempts at a suspect server, one that does clearly worse than the others. While a
	// node knows of no more attempts than this, it reports each new one to the other nodes. Otherwise it reports a fraction.
	fullSampleAttempts = 6.0
	// intervalPerNode, multiplied by the fleet's size, is the average interval between two datagrams of one node. So a node
	// receives, on average, at most 200 datagrams a second from all nodes together, not counting urgent ones.
	intervalPerNode = 5 * time.Millisecond
	// minInterval is the lower bound of the average interval between two datagrams of one node. An urgent datagram may be sent
	// this long after the previous one.
	minInterval = 250 * time.Millisecond
	// keySampleInterval says how many keys are sent to the other nodes: on average the key of one request in this many. In a
	// fleet of 300 nodes with 18 requests a second each, these are 300 * 18 / 8 = 675 keys a second.
	keySampleInterval = 8
	// recentKeys is the number of a node's latest requests whose keys are remembered. A key that is requested again within so few
	// requests may be sent at once.
	recentKeys = 8
	// repeatFactor is the ratio above which a repeated key is sent at once. The ratio is how often the key occurs among the
	// recent keys, divided by how often its known fraction of all requests predicts.
	repeatFactor = 3
)

// Sender decides what a node tells the other nodes, and when. Its methods select a sample of the attempts and keys and collect it
// in the Buffer. A Sender is not safe for concurrent use.
//
// The parameter draw of some methods is a random number from 0 to 1. With it, a method decides whether an attempt or a key
// becomes part of the sample.
type Sender struct {
	Buffer
	Disabled        bool // gossip is not allowed: nothing is sent
	IsHealthChecker bool // this node checks the servers' health for all nodes, so it reports the recovery of a server at once
	FleetSize       int  // number of nodes in the fleet

	nextAt     Time
	lastSentAt Time
	isUrgent   bool                    // the buffer holds something that should be sent before nextAt
	recent     [recentKeys]Fingerprint // ring buffer of the latest requested keys
	requests   int                     // number of keys requested so far
}

// AttemptEnded decides whether an attempt is reported to the other nodes. Only attempts at suspect servers, which do clearly
// worse than the others, are reported. knownAttempts is the number of recent attempts at the server that this node knows of, its
// own and those of other nodes. The larger this number is, the smaller is the fraction of attempts that is reported. Failures and
// successes are selected alike, so their ratio is kept.
func (s *Sender) AttemptEnded(server *Assessment, knownAttempts float64, isFailure bool, draw float64) {
	rate := fullSampleAttempts / max(fullSampleAttempts, knownAttempts)
	if server.IsSuspect() && draw < rate*rate*rate {
		s.Buffer.AttemptEnded(server.Fingerprint, isFailure)
	}
}

// Recovered records that a server answered after this node had considered the server unresponsive.
func (s *Sender) Recovered(server Fingerprint) {
	s.Buffer.Recovered(server)
	s.isUrgent = s.isUrgent || s.IsHealthChecker
}

// KeyRequested decides whether a key that a client requested is sent to the other nodes. Usually one key in keySampleInterval is
// sent, chosen at random. A key that was requested several times in the last few requests is sent at once, unless its known
// fraction of all requests explains that. Such a key may begin to get a large part of all requests. The other nodes must know of
// the key before each of them has sent its first request for the key to the same server.
func (s *Sender) KeyRequested(key Fingerprint, knownFraction, draw float64) {
	count := s.countRecent(key) + 1
	s.recent[s.requests%recentKeys] = key
	s.requests++
	isUnexpected := count > 1 && float64(count) > repeatFactor*knownFraction*recentKeys
	if isUnexpected || draw*keySampleInterval < 1 {
		s.Buffer.KeyRequested(key)
	}
	s.isUrgent = s.isUrgent || isUnexpected
}

// countRecent returns how often a key is among the last recentKeys requested keys.
func (s *Sender) countRecent(key Fingerprint) int {
	count := 0
	for _, recent := range s.recent[:min(s.requests, recentKeys)] {
		if recent == key {
			count++
		}
	}
	return count
}

// NextDatagram returns a datagram for all nodes if it is time for one and there is something to send, and nil otherwise. The
// random number draw shifts the time of the next datagram, so that nodes that started at the same time do not send at the same
// time.
func (s *Sender) NextDatagram(now Time, draw float64) []byte {
	if s.Disabled {
		s.clear()
	}
	maySendEarly := s.isUrgent && now-s.lastSentAt >= minInterval
	if now < s.nextAt && !maySendEarly {
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
