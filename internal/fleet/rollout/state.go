package rollout

// State is the state of a node in a rollout. It is sent in heartbeats.
type State byte

// States of a node. A node counts as out of service in every state except Ready.
const (
	Starting  State = iota // not serving yet, or serving for less than the observation period
	Ready                  // in service
	Draining               // draining, or about to exit
	Unhealthy              // the node had too many failed or slow responses in the observation period after its start
	numStates
)

// String returns the state as the control socket writes it.
func (s State) String() string { return [...]string{"starting", "fit", "leaving", "broken"}[s] }

// Reason says why a slot request was denied or abandoned, a slot released, or a release halted. It is sent in messages.
type Reason byte

// Reasons for an answer to a slot request, for the release of a slot, or for a halt.
const (
	ReasonGranted        Reason = iota // no denial: the request is granted
	ReasonSlotTaken                    // another node has the requested slot
	ReasonOverBudget                   // too many nodes are out of service already
	ReasonHalted                       // the release is halted
	ReasonAbstaining                   // the answering node does not know yet what it granted before its last start
	ReasonOperator                     // an operator halted or resumed the release
	ReasonNodeUnhealthy                // a node had too many failed or slow responses after its start
	ReasonNotReturned                  // a node that drained did not come back in time
	ReasonRequestExpired               // the request is finished, timed out or no longer needed, or the node made a newer one
	ReasonNotInstalled                 // a node that drained for a release came back with another release
	numReasons
)

// String returns the reason as it is written in the log and by the control socket.
func (r Reason) String() string {
	return [...]string{"granted", "slot_taken", "over_budget", "halted", "abstains", "by_operator", "node_broken", "not_returned", "superfluous", "not_installed"}[r]
}
