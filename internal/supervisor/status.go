package supervisor

import "time"

// Status is the state of one instance as operators see it.
type Status struct {
	Instance         int           `json:"instance"`
	Process          int           `json:"process"` // number of the process that serves; 0: none
	State            string        `json:"state"`   // one of serves, replaced, hangs, starts and waits
	ServingFor       time.Duration `json:"for_ns"`  // time since the process became ready
	ReplaceRequested bool          `json:"to_be_replaced"`
	FailedStarts     int           `json:"failed_starts"` // number of failed starts in a row
	Ending           int           `json:"ending"`        // number of processes that were replaced and have not ended
}

// Statuses returns the state of each instance and whether replacing is halted.
func (c *Core) Statuses(now Time) (all []Status, halted bool) {
	for i := range c.instances {
		in := &c.instances[i]
		status := Status{Instance: i, State: in.state(), ReplaceRequested: in.replaceRequested, FailedStarts: in.failedStarts, Ending: len(in.ending)}
		if in.current != nil {
			status.Process, status.ServingFor = in.current.number, now-in.current.readyAt
		}
		all = append(all, status)
	}
	return all, c.isHalted
}

// state returns the name of the instance's state for Status.
func (in *instance) state() string {
	switch {
	case in.current != nil && in.current.isHung:
		return "hangs"
	case in.current != nil && in.successor != nil:
		return "replaced"
	case in.current != nil:
		return "serves"
	case in.successor != nil:
		return "starts"
	default:
		return "waits"
	}
}
