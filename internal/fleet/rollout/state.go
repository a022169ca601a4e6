package rollout

// State is the state of a node in a rollout. It is sent in heartbeats.
type State byte

// States of a node. A node counts as out of service in every state except Ready.
const (
	Starting  State = iota // under observation, or not serving yet
	Ready                  // in service
	Draining               // draining, or about to exit
	Unhealthy              // the node failed its observation
	numStates
)

// String returns the state as the control socket writes it.
func (s State) String() string { return [...]string{"starting", "fit", "leaving", "broken"}[s] }

// Reason says why a slot request was denied or abandoned, a slot released, or a release halted. It is sent in messages.
type Reason byte

// Reasons for an answer to a slot request, for the release of a slot, or for a halt.
const (
	ReasonGranted        Reason = iota // no denial: the request is granted
	ReasonSlotTaken                    // another node has the slot
	ReasonOverBudget                   // too many nodes are out of service already
	ReasonHalted                       // the release is halted
	ReasonAbstaining                   // the answering node has just started and does not know what it granted before
	ReasonOperator                     // an operator halted or resumed the release
	ReasonNodeUnhealthy                // a node failed its observation
	ReasonNotReturned                  // a node that drained did not come back in time
	ReasonRequestExpired               // the request is over, or a newer one of the same node is known
	ReasonNotInstalled                 // a node that drained for a release came back with another release
	numReasons
)

// String returns the reason as it is written in the log and by the control socket.
func (r Reason) String() string {
	return [...]string{"granted", "slot_taken", "over_budget", "halted", "abstains", "by_operator", "node_broken", "not_returned", "superfluous", "not_installed"}[r]
}
