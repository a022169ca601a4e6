package node

import (
	"time"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// loadLevelStep is the smallest change of the load level that the policy is notified of, except the return to 0.
const loadLevelStep = 0.05

// Environment holds the functions that the shell of a Core provides.
type Environment struct {
	// Now returns the current time. The clock must not go back.
	Now func() time.Time
	// ReportOutcome takes the outcome of an attempt from a pool, and has AttemptEnded called with it. If the pool reports during
	// a call that the core makes, AttemptEnded must not be called before that call has returned.
	ReportOutcome func(*upstream.Attempt, upstream.Response)
	// PostListUpdate has update called ahead of all other work that waits. An attempt that is decided on after a change of the
	// endpoint list must take the change into account.
	PostListUpdate func(update func())
}

// Core owns the policy and the state that it decides on: requests, their deadlines, the attempts for each request, and the
// endpoint list. Core has no clock, goroutines or sockets of its own, and is not safe for concurrent use.
type Core struct {
	options     Options
	environment Environment
	router      *policy.Router
	start       time.Time // start of the policy's clock, which begins at this Unix time and is monotonic from there on
	timers      timerQueue
	events      []policy.Event // outcomes of the policy's own actions, of which the policy has not been notified yet

	classes      map[string]int // index of each class by name
	requests     map[uint64]*openRequest
	byRequest    map[*request.Request]*openRequest
	ids          map[string]bool // ids of the requests that are owed a response
	executedIDs  executedIDs
	lastID       uint64
	openRequests int     // number of requests that are owed a response
	loadLevel    float64 // load level that the policy was last notified of
	requestLog   requestLog

	isDraining    bool
	drainDeadline time.Time     // while the core drains, no request is answered after this time
	drained       chan struct{} // closed by checkDrained when the core drains and owes no response any more

	endpoints        map[string]*endpoint   // all known endpoints, by id
	endpointsAt      map[string][]*endpoint // the same endpoints, by address
	removedEndpoints map[string]*endpoint   // known endpoints that were removed, kept while attempts are in flight to them, by id
	listValidator    discovery.ListValidator
	watches          []*watch // open watches, in the order in which they were opened
	isWatching       bool     // the last one of them is on the current source
}

// NewCore returns a core, or an error if the policy rejects its settings. Start must be called before any other method.
func NewCore(options Options, environment Environment) (*Core, error) {
	router, err := policy.New(options.Policy, options.Seed)
	if err != nil {
		return nil, err
	}
	core := &Core{options: options, environment: environment, router: router, drained: make(chan struct{}), start: environment.Now(),
		executedIDs: executedIDs{capacity: options.MaxOpenRequests}, classes: map[string]int{}, requests: map[uint64]*openRequest{}, byRequest: map[*request.Request]*openRequest{},
		ids: map[string]bool{}, endpoints: map[string]*endpoint{},
		endpointsAt: map[string][]*endpoint{}, removedEndpoints: map[string]*endpoint{}, requestLog: newRequestLog(options.Log, options.Counters)}
	for i, class := range options.Policy.Classes {
		core.classes[class.Name] = i
	}
	return core, nil
}

// Start applies the initial endpoint list. If lists are pushed to the node, it also opens a watch.
func (c *Core) Start() {
	c.listValidator.SetVersion(c.options.InitialList.Version)
	c.updateEndpoints(c.options.InitialList, policy.CachedList)
	c.options.InitialList = discovery.List{} // the list is not used again and would stay in memory
	if c.isListPushed() {
		c.subscribe()
	}
	c.settle()
}

// Stop ends the watches on discovery.
func (c *Core) Stop() {
	for _, open := range c.watches {
		open.stop()
	}
	c.watches, c.isWatching = nil, false
}

// NotifyPolicy notifies the policy of an event from outside the node.
func (c *Core) NotifyPolicy(event policy.Event) {
	c.notify(event)
	c.settle()
}

// Explain returns what the policy would decide for a key. It changes nothing.
func (c *Core) Explain(key string) policy.Explanation {
	return c.router.Explain(c.policyTime(c.environment.Now()), key)
}

// OpenRequests returns how many requests are owed a response.
func (c *Core) OpenRequests() int { return c.openRequests }

// Retained returns the number of requests, request ids and timers that the core keeps in memory. Answered requests are kept while
// they have attempts in flight. Without requests and attempts, only the policy's own timer is kept.
func (c *Core) Retained() (requests, ids, timers int) {
	return len(c.requests), len(c.ids), c.timers.len()
}

// NextTimer returns the time at which HandleTimers has to be called next. ok is false if there is no timer.
func (c *Core) NextTimer() (at time.Time, ok bool) { return c.timers.next() }

// HandleTimers runs the timers whose time has come.
func (c *Core) HandleTimers() {
	now := c.environment.Now()
	for expired := c.timers.popExpired(now); expired != nil; expired = c.timers.popExpired(now) {
		expired.run()
		c.settle()
	}
}

// SetLoadLevel notifies the policy of the fraction of the sheddable load to shed, from 0 to 1. It does so if the fraction has
// changed by loadLevelStep or has returned to 0.
func (c *Core) SetLoadLevel(level float64) {
	change := level - c.loadLevel
	if change >= loadLevelStep || change <= -loadLevelStep || change != 0 && level == 0 {
		c.loadLevel = level
		c.NotifyPolicy(policy.LoadLevel{Level: level})
	}
}

// policyTime converts a time of the system's clock to the policy's.
func (c *Core) policyTime(t time.Time) policy.Time {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// systemTime converts a time of the policy's clock to the system's.
func (c *Core) systemTime(t policy.Time) time.Time {
	return c.start.Add(t - time.Duration(c.start.UnixNano()))
}

// notify passes an event to the policy and carries out the policy's actions.
func (c *Core) notify(event policy.Event) {
	for _, action := range c.router.Handle(c.policyTime(c.environment.Now()), event) {
		c.carryOut(action)
	}
}

// settle notifies the policy of the outcomes of its own actions, until there are none left. Each call from outside the core ends
// with a call of settle.
func (c *Core) settle() {
	for len(c.events) > 0 {
		event := c.events[0]
		c.events = c.events[1:]
		if outcome, ok := event.(policy.Outcome); ok {
			c.notifyOutcome(outcome)
		} else {
			c.notify(event)
		}
	}
}

func (c *Core) notifyOutcome(outcome policy.Outcome) {
	open := c.requests[outcome.ID]
	outcome.Ended = open == nil || open.isAnswered
	c.notify(outcome)
	c.forgetIfDone(open)
}
