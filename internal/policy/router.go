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
	actions     []Action // actions that the current event has caused so far
	classByName map[string]*Class

	// State of client requests.
	requests          map[uint64]*request
	flights           map[string]*flight // by key: fetches from the origin; other requests for the key wait for them
	quotas            *quota.Tracker
	maxPriorityWeight float64 // greatest priority weight of all classes
	retryBudgets      map[*Class]*admission.RetryBudget
	loadLevel         float64 // from 0 to 1: how far the node is behind with its work, see LoadLevel
	// shedDebt holds a sum for each bucket (a group of requests of similar priority). Each request adds the fraction of
	// requests that is to be shed at present. When the sum reaches 1, the request is shed and 1 is subtracted.
	shedDebt   [bulk + 1]float64
	fastestHit time.Duration // latency of the fastest recent hits, answers of cache servers; 0 before the first
	lastHitAt  Time          // time of the last hit

	// State of servers and zones.
	servers             []*server // sorted by id
	serverByID          map[string]*server
	serverByFingerprint map[gossip.Fingerprint]*server
	keyServers          []keyServer   // cache servers that are listed as live, sorted by id
	ranked              rankedServers // memory for the heap of a slotOrder; the next slotOrder reuses it
	zones               map[string]*zone
	ownZone             *zone
	cacheGauge          gauge   // utilisation of all cache servers together
	zoneGauge           gauge   // utilisation of the cache servers in this router's zone together
	totalWeight         float64 // sum of the capacityWeight of all keyServers
	zoneFraction        float64 // fraction of totalWeight that is in this router's zone
	activeServers       float64 // number of keyServers, including unresponsive ones
	meanCapacity        float64 // mean Capacity of keyServers
	crossZoneWeight     locality.CrossZoneWeight

	// State of the origin.
	origin        *server                           // nil if no origin is listed as live
	originLimiter admission.ConcurrencyLimiter      // bounds the attempts in flight at the origin
	originQueue   admission.PriorityQueue[*request] // requests that wait because the limit of originLimiter is reached

	// Popularity of keys. Each request counts with a greater weight than the requests before it, so old requests matter
	// less and less.
	keyCounts      decay.KeyCounts // counts by key, of this router's requests and of samples of other routers' requests
	requestTotal   float64         // sum of the weights of this router's requests
	requestWeight  float64         // weight with which a request counts at present
	requestTotalAt Time            // when requestTotal last grew
	servedTotal    float64         // sum over all hits: weight of the hit / number of active cache servers
	rescaleAt      Time            // when pruneKeyCounts next divides the sums of weights by requestWeight

	// Ejection of outliers: servers with clearly more slow or failed answers than the others give up slots, see
	// outlier.go.
	ejectionBudget     outlier.Budget
	ejectionCandidates []outlier.Server // buffer that ejectionStates reuses
	ejectionGrants     []float64        // buffer that limitEjections reuses
	isEjectionLimited  bool             // at the last check, ejectionBudget did not suffice for all outliers

	// Cooperation with the other routers.
	gossipSender     gossip.Sender
	recheckSpacing   time.Duration    // mean time between checks of an unresponsive server by all routers together
	polls            polling.Schedule // when to poll discovery
	responsibilities [roleCount]Responsibility
	configuredNodes  int  // Settings.Nodes as passed to New
	isTimerRunning   bool // the periodic work, upkeep, has been started
}

// New returns a router with the settings, or a *SettingsError. The seed determines all random numbers of the router:
// those for waits, for random choices, and for the moments at which requests are shed.
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
		recheckSpacing:      recheckSpacingAlone,
	}
	if settings.MayGossip {
		router.recheckSpacing = recheckSpacingShared
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
		router.shedDebt[rank] = router.rng.Float64() // with equal values all routers would reject at the same moments
	}
	for _, tenant := range settings.Tenants {
		router.quotas.Add(tenant.Name, tenant.Quota)
	}
	return router, nil
}

// addClasses indexes the classes by name and creates the retry budget of each.
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

// newObjectives returns the target and maximum latency that apply before the first samples. They follow from the
// shortest LatencyObjective of all classes.
func (r *Router) newObjectives() *objectives {
	shortest := slices.MinFunc(r.settings.Classes, func(a, b Class) int {
		return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
	}).LatencyObjective
	return &objectives{maxTarget: shortest, target: shortest, max: 2 * shortest}
}

// Handle processes one event and returns the resulting actions in order. The caller owns the returned slice.
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
		r.polls.RecoveryAnnounced(r.now) // the only announcement is the DiscoveryPoller's: discovery answers again
	case TimerFired:
		r.timerFired(ev.Token)
	}
	if r.polls.TakeAnnouncement() {
		r.emit(Announce{DiscoveryPoller})
	}
	r.dequeueForOrigin()
	return r.actions
}

// timerFired does the periodic work or resumes a waiting request, depending on the token.
func (r *Router) timerFired(token uint64) {
	if token == upkeepToken {
		r.upkeep()
		return
	}
	if req := r.requests[token]; req != nil && req.isWaiting && r.now >= req.wakeAt {
		r.resume(req)
	}
}

// emit adds an action to those that Handle returns for the current event.
func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// logf emits a formatted log line for the operators.
func (r *Router) logf(format string, args ...any) { r.emit(Log{fmt.Sprintf(format, args...)}) }

// jitter returns a random duration below the bound (full jitter). Random waits keep routers that got the same update
// from acting on it at the same moment.
func (r *Router) jitter(bound time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(max(bound, 1))))
}
