package lease

import (
	"testing"
	"time"
)

// noAnswer is the value in place of a Reason if a message gets no answer from the core.
const noAnswer = numReasons

// settled is a time at which a core that was started at time 0 already grants leases: twice the LeaseDuration.
const settled = 2 * testLease

// newSettledCore returns the core of node 0 in a fleet of three. The core was started at time 0. Its time is now the constant
// settled, so it grants leases.
func newSettledCore(t *testing.T) *Core {
	t.Helper()
	core := newTestCore(t, Config{Nodes: 3, PeerListID: 1, Resources: []string{testResource}, LeaseDuration: testLease,
		MaxClockDrift: testClockDrift, Epoch: 1, Seed: 1})
	core.Step(0, Tick{})
	core.Step(settled, Tick{})
	return core
}

// exchange passes a message to a core and returns the reason in the core's answer, or noAnswer.
func exchange(t *testing.T, core *Core, now Time, from int, received message) Reason {
	t.Helper()
	for _, effect := range core.Step(now, MessageReceived{from, received.encode()}) {
		send, ok := effect.(Send)
		if !ok || send.To != from {
			continue
		}
		sent, err := decode(send.Data)
		if err != nil {
			t.Fatal(err)
		}
		if answer, ok := sent.(leaseAnswer); ok {
			return answer.Reason
		}
	}
	return noAnswer
}

func requestOf(token uint64, isHolder bool) leaseRequest {
	return leaseRequest{header: header{PeerListID: 1, ResourceID: HashName(testResource), Token: token}, Round: 1, IsHolder: isHolder}
}

func releaseOf(token uint64) leaseRelease { return leaseRelease{requestOf(token, false).header} }

// TestGrantsAfterLateMessages checks what a node grants after messages that arrive late and after requests that failed.
func TestGrantsAfterLateMessages(t *testing.T) {
	type step struct {
		from     int
		received message
		after    time.Duration // time between the previous step and this one
		want     Reason
	}
	const base = 1_000_000
	for _, test := range []struct {
		name  string
		steps []step
	}{
		// The command testbed simulate --fleet found this failure with seed 1385: two nodes held the lease.
		{"a renewal under an earlier token and its release leave the current grant", []step{
			{0, requestOf(base+2000, false), 0, ReasonGranted},
			{0, requestOf(base+1000, true), 0, ReasonTokenSuperseded},
			{0, releaseOf(base + 1000), 0, noAnswer},
			{2, requestOf(base+2500, false), 0, ReasonContested},
		}},
		// The command testbed simulate --fleet found this failure with seed 1759: this node granted the holder no more renewals.
		{"a request under a greater token that failed leaves the holder its vote", []step{
			{0, requestOf(base+1000, false), 0, ReasonGranted},
			{0, requestOf(base+1000, true), 0, ReasonGranted},
			{2, requestOf(base+2000, false), 2 * testLease, ReasonGranted},
			{2, releaseOf(base + 2000), 0, noAnswer},
			{0, requestOf(base+1000, true), 0, ReasonGranted},
		}},
		{"a released token is not granted again", []step{
			{0, requestOf(base+1000, false), 0, ReasonGranted},
			{0, releaseOf(base + 1000), 0, noAnswer},
			{0, requestOf(base+1000, true), 0, ReasonTokenSuperseded},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			core := newTestCore(t, Config{Self: 1, Nodes: 3, PeerListID: 1, Resources: []string{testResource}, LeaseDuration: testLease,
				MaxClockDrift: testClockDrift, Epoch: base})
			core.Step(0, Tick{})
			now := settled
			for i, step := range test.steps {
				now += step.after
				if got := exchange(t, core, now, step.from, step.received); got != step.want {
					t.Errorf("step %d is answered %v, want %v", i, got, step.want)
				}
			}
		})
	}
}

// TestHolderReliesOnGrantsFromItsRequestOn checks that a lease counts from when it was requested, not from when the answers
// arrived.
func TestHolderReliesOnGrantsFromItsRequestOn(t *testing.T) {
	for _, test := range []struct {
		answered, checked time.Duration // times since the request: when the answer arrives, and when the lease is checked
		want              bool
	}{
		{10 * time.Millisecond, 900 * time.Millisecond, true},
		{900 * time.Millisecond, 940 * time.Millisecond, true},
		{900 * time.Millisecond, 960 * time.Millisecond, false},
		{960 * time.Millisecond, 970 * time.Millisecond, false},
	} {
		core := newSettledCore(t)
		core.resources[0].own.nextRequest = settled
		core.Step(settled, Tick{})
		request := requestOf(core.resources[0].own.token, false)
		exchange(t, core, settled+test.answered, 1, leaseAnswer{header: request.header, Round: 1, Reason: ReasonGranted})
		if _, got := core.Holds(settled+test.checked, testResource); got != test.want {
			t.Errorf("answered after %v, held after %v: %v, want %v", test.answered, test.checked, got, test.want)
		}
	}
}

func TestGrantExpiresAfterLeaseDuration(t *testing.T) {
	core := newSettledCore(t)
	if got := exchange(t, core, settled, 1, requestOf(5, false)); got != ReasonGranted {
		t.Fatalf("the first request is answered %v, want granted", got)
	}
	for _, test := range []struct {
		name  string
		after time.Duration
		token uint64
		want  Reason
	}{
		{"of another node within the lease", 990 * time.Millisecond, 6, ReasonContested},
		{"of another node after it, under the same token", 1010 * time.Millisecond, 5, ReasonTokenSuperseded},
		{"of another node after it, under the next token", 1010 * time.Millisecond, 6, ReasonGranted},
	} {
		if got := core.decide(settled+test.after, core.resources[0], 2, test.token, false); got != test.want {
			t.Errorf("a request %s is answered %v, want %v", test.name, got, test.want)
		}
	}
}

func TestNothingIsGrantedForALeaseAfterPeersChanged(t *testing.T) {
	core := newSettledCore(t)
	core.Step(settled, PeersChanged{Self: 0, Nodes: 4, PeerListID: 2})
	for _, test := range []struct {
		after      time.Duration
		peerListID uint32
		want       Reason
	}{
		{10 * time.Millisecond, 1, noAnswer},
		{10 * time.Millisecond, 2, ReasonAbstaining},
		{1040 * time.Millisecond, 2, ReasonAbstaining},
		{1060 * time.Millisecond, 2, ReasonGranted},
	} {
		request := requestOf(9, false)
		request.PeerListID, request.Round = test.peerListID, 0
		if got := exchange(t, core, settled+test.after, 1, request); got != test.want {
			t.Errorf("a request by list %d %v after the change is answered %v, want %v", test.peerListID, test.after, got, test.want)
		}
	}
}
