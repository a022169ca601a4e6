package gossip

import (
	"slices"
	"testing"
	"time"
)

// TestNothingIsSentAboutAHealthyServer: attempts at a server that is about as fast and reliable as the others are not reported to
// other nodes.
func TestNothingIsSentAboutAHealthyServer(t *testing.T) {
	healthy := NewAssessment(1)
	healthy.Update(0.05, 0)
	sender := Sender{FleetSize: 80}
	for i := range 100 {
		sender.AttemptEnded(&healthy, 1, true, float64(i)/100)
	}
	if data := sender.NextDatagram(time.Hour, 0); data != nil {
		t.Errorf("got the datagram %v, want none", data)
	}
}

// countSampled returns how many of 1000 attempts at a server are selected for the report to other nodes, if the node knows of
// knownAttempts recent attempts at the server.
func countSampled(server *Assessment, knownAttempts float64, isFailure bool) int {
	const attempts = 1000
	sampled := 0
	for i := range attempts {
		var sender Sender
		sender.AttemptEnded(server, knownAttempts, isFailure, float64(i)/attempts)
		sampled += len(sender.observations)
	}
	return sampled
}

// TestFewerAttemptsAreSampledWhereManyAreKnown: the more attempts at a suspect server (one that does clearly worse than the
// others) a node knows of, the fewer it reports to other nodes. Failures and successes are selected alike.
func TestFewerAttemptsAreSampledWhereManyAreKnown(t *testing.T) {
	suspect := NewAssessment(2)
	suspect.Update(0.6, 0)
	if got := countSampled(&suspect, 2, true); got != 1000 {
		t.Errorf("few are known: got %d of 1000 sampled, want all", got)
	}
	if got := countSampled(&suspect, 30, true); got > 20 {
		t.Errorf("many are known: got %d of 1000 sampled, want 20 at most", got)
	}
	if successes, failures := countSampled(&suspect, 12, false), countSampled(&suspect, 12, true); successes != failures {
		t.Errorf("got %d successes and %d failures sampled, want as many", successes, failures)
	}
}

// TestDatagramsAreSpacedByTheFleetSize: the larger the fleet is, the fewer datagrams one node sends. So all nodes together send
// no more than each node can receive.
func TestDatagramsAreSpacedByTheFleetSize(t *testing.T) {
	const maxSent = 27 // in 10 s one of 80 nodes may send a datagram every 80 * 5 ms, which makes 25; 2 more are tolerated
	sender := Sender{FleetSize: 80}
	sent := 0
	for now := Time(0); now < 10*time.Second; now += 10 * time.Millisecond {
		sender.Unresponsive(1)
		if sender.NextDatagram(now, 0.5) != nil {
			sent++
		}
	}
	if sent == 0 || sent > maxSent {
		t.Errorf("got %d datagrams in 10 s, want some and %d at most", sent, maxSent)
	}
}

func TestDisabledSenderSendsNothing(t *testing.T) {
	sender := Sender{Disabled: true, Buffer: Buffer{observations: []Observation{{Unresponsive: true}}}}
	if data := sender.NextDatagram(0, 0); data != nil {
		t.Errorf("got the datagram %v, want none", data)
	}
}

// TestRepeatedKeysAreSentAtOnce checks that a key that is requested twice within a few requests is sent before the next datagram
// is due, unless it is already known that the key is requested that often.
func TestRepeatedKeysAreSentAtOnce(t *testing.T) {
	for _, test := range []struct {
		name          string
		between       int // number of other requests between the two requests for the key
		knownFraction float64
		want          bool
	}{
		{"unknown", 0, 0, true},
		{"a few between", recentKeys - 2, 0, true},
		{"many between", recentKeys, 0, false},
		{"known to draw little", 0, 0.01, true},
		{"known to draw much", 0, 0.2, false},
	} {
		sender := Sender{FleetSize: 300}
		sender.NextDatagram(0, 0.5) // the next datagram is due in 1.5 s
		sender.KeyRequested(7, test.knownFraction, 1)
		for i := range test.between {
			sender.KeyRequested(Fingerprint(100+i), 0, 1)
		}
		sender.KeyRequested(7, test.knownFraction, 1)
		var sent Message
		if data := sender.NextDatagram(minInterval, 0.5); data != nil {
			var err error
			if sent, err = Decode(data); err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
		}
		if got := slices.Contains(sent.Keys, 7); got != test.want {
			t.Errorf("%s: got sent at once %v, want %v", test.name, got, test.want)
		}
	}
}

// TestKeysAreSampled: if each key is requested once, one key in eight is put into the next datagram, up to the number that fits.
func TestKeysAreSampled(t *testing.T) {
	const requests = 1000
	var sender Sender
	for i := range requests {
		sender.KeyRequested(Fingerprint(i), 0, float64(i)/requests)
		switch i {
		case requests/keySampleInterval - 1:
			if got, want := len(sender.Encode()), headerBytes+fingerprintBytes*maxKeys; got != want {
				t.Errorf("after %d requests: got a datagram of %d bytes, want %d", i+1, got, want)
			}
		case requests - 1:
			if data := sender.Encode(); data != nil {
				t.Errorf("after %d requests: got the datagram %v, want none", i+1, data)
			}
		}
	}
}
