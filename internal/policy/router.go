package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/discovery/polling"
	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/decay"
	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/policy/outlier"
	"shelfproxy/internal/policy/quota"
)

// Router makes the decisions of one node. It is not safe for concurrent use.
type Router struct {
	settings    Settings
	rng         *rand.Rand
	now         Time
	actions     []Action // of the event in hand
	classByName map[string]*Class

	// Requests.
	requests          map[uint64]*request
	flights           map[string]*flight // by key
	quotas            *quota.Tracker
	maxPriorityWeight float64 // of all classes
	retryBudgets      map[*Class]*admission.RetryBudget
	loadLevel         float64           // fraction of what may be shed that should be, as the node is behind
	shedDebt          [bulk + 1]float64 // rejections that are due, by bucket, less than one each
	fastestHit        time.Duration     // recent answers of cache servers; 0 before the first

	// Servers.
	servers             []*server // sorted by id
	serverByID          map[string]*server
	serverByFingerprint map[gossip.Fingerprint]*server
	keyServers          []keyServer   // those of servers that serve keys, in the same order
	ranked              rankedServers // reused by one slotOrder after the other
	zones               map[string]*zone
	ownZone             *zone
	cacheGauge          gauge   // of all cache servers
	zoneGauge           gauge   // of the cache servers of the own zone
	totalWeight         float64 // of the cache servers that are listed for work
	zoneFraction        float64 // of all cache servers' weights, that of the own zone
	activeServers       float64 // cache servers that are listed for work, also unresponsive ones
	meanCapacity        float64 // of these
	crossZoneWeight     locality.CrossZoneWeight

	// The origin.
	origin        *server                           // nil where none is listed for work
	originLimiter admission.ConcurrencyLimiter      // how many attempts may be in flight at it
	originQueue   admission.PriorityQueue[*request] // what waits for that

	// How popular keys are. Counts fade by making later requests weigh more.
	keyCounts      decay.KeyCounts // by key, of this router and of samples of the others
	requestTotal   float64         // requests of this router
	requestWeight  float64         // what one request counts now
	requestTotalAt Time            // when requestTotal was last added to
	servedTotal    float64         // answers of a mean cache server, counted like requestTotal
	rescaleAt      Time            // when these counts are scaled back next

	// Ejection of outliers.
	ejectionBudget     outlier.Budget
	ejectionCandidates []outlier.Server // reused from call to call
	ejectionGrants     []float64        // reused from call to call
	isEjectionLimited  bool             // the budget was not enough of late

	// The fleet.
	gossipSender     gossip.Sender
	recheckPace      time.Duration    // between two routers' health checks of an unresponsive server
	polls            polling.Schedule // of discovery
	responsibilities [roleCount]Responsibility
	configuredNodes  int  // Settings.Nodes as given
	isTimerRunning   bool // that of the periodic work
}

// New returns a router with the settings, or a *SettingsError. The seed feeds its only random numbers: those of
// waits, of draws by chance, and of the phase of rejections.
func New(settings Settings, seed uint64) (*Router, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	router := &Router{
		settings:            settings,
		rng:                 rand.New(rand.NewPCG(seed, seed)),
		configuredNodes:     settings.Nodes,
		classByName:         map[string]*Class{},
		quotas:              quota.New(settings.Nodes),
		retryBudgets:        map[*Class]*admission.RetryBudget{},
		requests:            map[uint64]*request{},
		flights:             map[string]*flight{},
		serverByID:          map[string]*server{},
		serverByFingerprint: map[gossip.Fingerprint]*server{},
		zones:               map[string]*zone{},
		requestWeight:       1,
		crossZoneWeight:     locality.CrossZoneWeight{AffinityBudget: settings.AffinityBudget},
		originLimiter:       admission.ConcurrencyLimiter{Max: maxOriginInFlight},
		ejectionBudget:      outlier.Budget{MaxFraction: settings.MaxEjectedFraction},
		gossipSender:        gossip.Sender{Disabled: !settings.MayGossip, FleetSize: settings.Nodes},
		recheckPace:         recheckPaceAlone,
	}
	if settings.MayGossip {
		router.recheckPace = recheckPaceShared
	}
	router.ownZone = router.zoneNamed(settings.Zone)
	router.addClasses()
	router.cacheGauge.objectives = router.newObjectives()
	router.cacheGauge.minTarget = time.Duration(float64(router.cacheGauge.maxTarget) * minTargetFraction)
	router.zoneGauge.objectives, router.zoneGauge.aggregate = router.cacheGauge.objectives, &router.cacheGauge
	router.polls = polling.Schedule{
		SpreadOver: router.pollSpread(),
		MaxBackoff: router.maxPollBackoff(),
		StaleAfter: settings.MaxPollInterval,
		Jitter:     router.jitter,
	}
	for rank := range router.shedDebt {
		router.shedDebt[rank] = router.rng.Float64() // or all routers would reject in step
	}
	for _, tenant := range settings.Tenants {
		router.quotas.Add(tenant.Name, tenant.Quota)
	}
	return router, nil
}

// addClasses indexes the classes and gives each its retry budget.
func (r *Router) addClasses() {
	for i := range r.settings.Classes {
		class := &r.settings.Classes[i]
		r.classByName[class.Name] = class
		r.maxPriorityWeight = max(r.maxPriorityWeight, class.PriorityWeight)
	}
	for i := range r.settings.Classes {
		class := &r.settings.Classes[i]
		r.retryBudgets[class] = newRetryBudget(class, r.maxPriorityWeight)
	}
}

// newObjectives returns those of a router that has measured nothing yet.
func (r *Router) newObjectives() *objectives {
	shortest := slices.MinFunc(r.settings.Classes, func(a, b Class) int {
		return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
	}).LatencyObjective
	return &objectives{maxTarget: shortest, target: shortest, max: 2 * shortest}
}

// Handle takes one event and returns the actions that it calls for, in order; they belong to the caller.
//
//nolint:gocyclo // a flat dispatch on the type of the event
func (r *Router) Handle(now Time, event Event) []Action {
	r.now, r.actions = now, nil
	switch ev := event.(type) {
	case Request:
		r.requestReceived(ev)
	case Outcome:
		r.attemptEnded(ev)
	case EndpointUpdate:
		r.endpointUpdate(ev)
	case ResponseStarted:
		r.responseStarted(ev)
	case ClientDisconnected:
		if req := r.requests[ev.ID]; req != nil {
			r.endRequest(req)
		}
	case HealthChecked:
		if srv := r.serverByID[ev.Server]; srv != nil {
			r.healthChecked(srv, ev.Reason)
		}
	case GossipReceived:
		r.gossipReceived(ev)
	case LoadLevel:
		r.loadLevel = ev.Level
	case RoleAssigned:
		r.assignRole(ev)
	case FleetSize:
		r.resizeFleet(ev.Nodes)
	case RoleAnnouncement:
		r.polls.RecoveryAnnounced(r.now) // the only role with something to announce
	case TimerFired:
		r.timerFired(ev.Token)
	}
	if r.polls.TakeAnnouncement() {
		r.emit(Announce{DiscoveryPoller})
	}
	r.dequeueForOrigin()
	return r.actions
}

// timerFired starts the periodic work or resumes the request that waited; the token tells which.
func (r *Router) timerFired(token uint64) {
	if token == upkeepToken {
		r.upkeep()
		return
	}
	if req := r.requests[token]; req != nil && req.isWaiting && r.now >= req.wakeAt {
		r.resume(req)
	}
}

// emit adds an action to those that the event in hand calls for.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// logf emits a line for the operators.
func (r *Router) logf(format string, args ...any) { r.emit(Log{fmt.Sprintf(format, args...)}) }

// jitter draws a full-jitter wait, any duration below the bound: routers that got the same update must not act on it
// together.
func (r *Router) jitter(bound time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(max(bound, 1))))
}
