package gossip

import "time"

const (
	// fullSampleAttempts is the number of known recent attempts at a server up to which every attempt is sent. Above it, only a
	// fraction of the attempts is sent.
	fullSampleAttempts = 6.0
	// intervalPerNode, multiplied by the fleet's size, is the interval between two datagrams of one node. This bounds what each
	// node receives to 200 datagrams a second.
	intervalPerNode = 5 * time.Millisecond
	// minInterval is the lower bound of the interval between two datagrams of one node.
	minInterval = 250 * time.Millisecond
	// keySampleInterval is the average number of requests for each key that is sent. From 300 nodes with 18 requests a second
	// each, this makes 600 keys a second.
	keySampleInterval = 8
	// recentKeys is the number of a node's latest requests within which a repeated key is sent at once.
	recentKeys = 8
	// repeatFactor is how many times as often as expected a key has to be among the recent keys to be sent at once.
	repeatFactor = 3
)

// Sender decides what a node tells the other nodes, and when. Its methods sample attempts and keys and collect the sample in the
// Buffer. It is not safe for concurrent use.
//
// The parameter draw of some methods is a random number from 0 to 1. It decides whether something becomes part of the sample.
type Sender struct {
	Buffer
	Disabled        bool // gossip is not allowed: nothing is sent
	IsHealthChecker bool // this node checks the servers' health for all nodes, so it sends recoveries at once
	FleetSize       int  // number of nodes in the fleet

	nextAt     Time
	lastSentAt Time
	isUrgent   bool                    // the buffer holds something that should be sent before nextAt
	recent     [recentKeys]Fingerprint // ring buffer of the latest requested keys
	requests   int                     // number of keys requested so far
}

// AttemptEnded samples an attempt at a suspect server. knownAttempts is the number of recent attempts at the server that are
// known, including those of other nodes. The larger it is, the smaller the fraction of attempts that is sent. Failures and
// successes are sampled alike, so their ratio is kept.
func (s *Sender) AttemptEnded(server *Assessment, knownAttempts float64, isFailure bool, draw float64) {
	rate := fullSampleAttempts / max(fullSampleAttempts, knownAttempts)
	if server.IsSuspect() && draw < rate*rate*rate {
		s.Buffer.AttemptEnded(server.Fingerprint, isFailure)
	}
}

// Recovered records that a server answered after this node had taken it for unresponsive.
func (s *Sender) Recovered(server Fingerprint) {
	s.Buffer.Recovered(server)
	s.isUrgent = s.isUrgent || s.IsHealthChecker
}

// KeyRequested samples the keys that clients request from this node. A key that is repeated within a few requests is sent at
// once, unless its known fraction of all requests explains the repetition. The other nodes must know of a key that begins to get
// a large part of all requests before each node has sent its first request for that key to the same server.
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
// random draw shifts the time of the next datagram, so that nodes that started together do not send together.
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
