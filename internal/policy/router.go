package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/discovery/polling"
	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/circuitbreaker"
	"shelfproxy/internal/policy/decay"
	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/policy/outlier"
	"shelfproxy/internal/policy/quota"
)

// bucket ranks work by worth; the highest value is refused first.
type bucket int

const (
	critical bucket = iota
	degraded
	bestEffort
	bulk
)

// objectives are the target and maximum latency, learned from quiet timings.
type objectives struct {
	quiet       [quietCount]time.Duration // the last of them, as a ring
	next        int
	floor       time.Duration // the target is never below it
	limit       time.Duration // nor above it
	target, max time.Duration
}

// gauge measures the latency utilisation of what lies behind one server (or the origin).
type gauge struct {
	*objectives
	out           []*attempt // still out, oldest first
	pool          *gauge     // of all cache servers together; nil for the pool itself and the origin
	held          bool       // what it times waits in line before: its timings say nothing of quiet ones
	n, slow, over float64    // timings: all, over the target, over the maximum
	at            Time       // when they were last aged
}

// server is a cache server or the origin, as this router sees it.
type server struct {
	Server
	hash    uint64
	listed  bool
	silent  bool // believed down: out of the map until a probe, a success or a new start
	since   Time // when it was last believed silent
	probing bool
	probeAt Time    // last probe
	doubted Time    // a probe failed
	heard   Time    // last sign of life
	resets  int     // probes that broke since
	cold    Time    // start of its warm-up; 0 when warm
	before  Time    // what cold was before it was silent
	refused bool    // a connect was refused while it was silent
	doubt   int     // hits still wanted to show that it was only cut off; 0 without a doubt
	asked   float64 // requests, or parts of those of hot keys, that it was a choice for; counted like keys
	opinion gossip.Assessment
	breaker circuitbreaker.Breaker // where a server may not be asked whether it is there
	gauge   gauge
}

type attempt struct {
	q    *request
	srv  *server
	at   Time
	open bool
}

// request is one the router has taken.
type request struct {
	Request
	class    *Class
	bucket   bucket
	aim      Time
	attempts []*attempt
	open     int
	ended    bool
	avoid    *server  // failed this request
	turned   bool     // away by a server that does worse than the others: none such will do
	worth    float64  // of the greatest
	beyond   bool     // its tenant's share
	missed   bool     // at a cache server; the next step is the origin
	risk     *attempt // first attempt that may have run
	parked   bool
	wake     Time
}

// flight is a fetch of one key; later misses of the key wait for it.
type flight struct {
	leader  *request
	waiting []*request
}

// Router decides for one router. It is not safe for concurrent use.
type Router struct {
	set        Settings
	rng        *rand.Rand
	now        Time
	acts       []Action
	classes    map[string]*Class
	topWorth   float64
	shares     *quota.Shares
	servers    []*server // sorted by id
	byID       map[string]*server
	unreached  map[string]int // failed connects in a row, by zone
	origin     *server
	pool       gauge // of all cache servers
	requests   map[uint64]*request
	flights    map[string]*flight
	budgets    map[*Class]*admission.RetryBudget // of second attempts
	strain     float64                           // share of what may be refused that should be, as the node is behind
	owed       [bulk + 1]float64                 // refusals due by bucket, spread evenly
	takers     float64                           // cache servers that are listed for work, silent ones too
	units      float64                           // their mean size
	keys       decay.Keys                        // requests by key, of this router and samples of the others'
	all, one   float64                           // requests of this router, and what one counts now; see count
	served     float64                           // answers of a cache server, counted like all: each is one of all that took keys then
	allAt      Time
	quickest   time.Duration // answers of cache servers of late; 0 before the first
	byMark     map[gossip.Fingerprint]*server
	talk       gossip.Sender    // with the other routers
	pace       time.Duration    // between two routers' probes of a server believed silent
	sweepAt    Time             // when counts are scaled back next
	calls      polling.Schedule // for the list
	who        [roleCount]Responsibility
	ticking    bool
	home       gauge   // of the cache servers of the own zone
	homePart   float64 // their share of all servers' weights
	reach      locality.CrossZoneWeight
	gate       admission.ConcurrencyLimiter      // how much may be out at the origin
	line       admission.PriorityQueue[*request] // what waits for it
	configured int                               // how many routers the settings say share the traffic
	eject      outlier.Budget                    // of cache servers that are left out, or lose keys, by this router's judgment
	wants      []outlier.Server                  // reused
	granted    []float64                         // reused
	short      bool                              // it was not enough of late
}

// gateMost is what may be out at the origin before anything is known of it.
const gateMost = 64

// Second attempts that a class may have: a share of its first ones, some a second in any case, and so many saved up,
// past the first few no more than the last second earned: 300 routers of 18 requests a second would else have 9,000 of
// them in hand when a crowd begins, half of all requests of three seconds, and 900 more a second. What is worth most may
// be tried twice each; a brown-out of the rest costs a third more.
const (
	secondShare    = 0.34
	secondCritical = 1.5
	secondLeast    = 0.5
	secondFew      = 3
	secondMost     = 30
	criticalWorth  = 0.7
)

// New makes a Router. The seed feeds its only random numbers: waits, lots and the phase of refusals.
func New(set Settings, seed uint64) (*Router, error) {
	r := &Router{set: set, configured: set.Nodes, rng: rand.New(rand.NewPCG(seed, seed)), classes: map[string]*Class{},
		shares: quota.New(max(1, set.Nodes)), byID: map[string]*server{}, unreached: map[string]int{},
		requests: map[uint64]*request{}, flights: map[string]*flight{},
		byMark: map[gossip.Fingerprint]*server{}, talk: gossip.Sender{Disabled: !set.MayGossip, FleetSize: set.Nodes},
		one: 1, reach: locality.CrossZoneWeight{AffinityBudget: set.AffinityBudget}, gate: admission.ConcurrencyLimiter{Max: gateMost}, budgets: map[*Class]*admission.RetryBudget{}}
	if err := set.validate(); err != nil {
		return nil, err
	}
	for i := range set.Classes {
		c := &set.Classes[i]
		r.classes[c.Name] = c
		r.topWorth = max(r.topWorth, c.PriorityWeight)
	}
	for i := range set.Classes {
		c := &set.Classes[i]
		r.budgets[c] = &admission.RetryBudget{Ratio: secondShare, MinPerSecond: secondLeast, MaxSaved: secondMost, Burst: secondFew}
		if c.PriorityWeight > criticalWorth*r.topWorth {
			r.budgets[c].Ratio = secondCritical
		}
	}
	r.pool.objectives = r.objectives()
	r.pool.floor = time.Duration(float64(r.pool.limit) * poolFloor)
	r.home.objectives, r.home.pool = r.pool.objectives, &r.pool
	r.eject.Share = set.MaxEjectedFraction
	r.calls = polling.Schedule{SpreadOver: r.spread(), MaxBackoff: r.patience(), StaleAfter: set.MaxPollInterval, Jitter: r.jitter}
	if r.pace = pace; set.MayGossip {
		r.pace = paceTold
	}
	for b := range r.owed {
		r.owed[b] = r.rng.Float64() // or all routers would refuse in step
	}
	for _, t := range set.Tenants {
		r.shares.Add(t.Name, t.Quota)
	}
	return r, nil
}

// objectives are those of a router that has timed nothing yet.
func (r *Router) objectives() *objectives {
	limit := slices.MinFunc(r.set.Classes, func(a, b Class) int { return cmp.Compare(a.LatencyObjective, b.LatencyObjective) }).LatencyObjective
	return &objectives{limit: limit, target: limit, max: 2 * limit}
}

// Handle takes one event and returns the actions it calls for, in order; they belong to the caller.
func (r *Router) Handle(now Time, ev Event) []Action {
	r.now, r.acts = now, nil
	switch e := ev.(type) {
	case Request:
		r.request(e)
	case Outcome:
		r.outcome(e)
	case EndpointUpdate:
		r.list(e)
	case ResponseStarted: // its answer is on the way: no longer a matter of waiting
		if a := r.attempt(e.ID, e.Attempt); a != nil {
			a.srv.gauge.drop(a)
		}
	case ClientDisconnected:
		if q := r.requests[e.ID]; q != nil {
			r.end(q)
		}
	case HealthChecked:
		if s := r.byID[e.Server]; s != nil {
			r.probed(s, e.Reason)
		}
	case GossipReceived:
		r.hear(e)
	case LoadLevel:
		r.strain = e.Level
	case RoleAssigned:
		r.hold(e)
	case FleetSize:
		r.fleet(e.Nodes)
	case RoleAnnouncement:
		r.calls.RecoveryAnnounced(r.now) // the only duty that has something to say
	case TimerFired:
		if e.Token == housekeep {
			r.upkeep()
		} else if q := r.requests[e.Token]; q != nil && q.parked && now >= q.wake {
			r.unpark(q)
		}
	}
	if r.calls.TakeAnnouncement() {
		r.act(Announce{DiscoveryPoller})
	}
	r.release()
	return r.acts
}

func (r *Router) act(a Action) { r.acts = append(r.acts, a) }

func (r *Router) logf(format string, args ...any) { r.act(Log{fmt.Sprintf(format, args...)}) }

// takesKeys tells whether a server is a cache server that is listed for work.
func (r *Router) takesKeys(s *server) bool {
	origin := r.set.OriginKind != "" && s.Kind == r.set.OriginKind
	return !origin && s.listed && s.State == Live
}

func (r *Router) probe(s *server) {
	if r.set.MayHealthCheck && s.listed && !s.probing {
		s.probing, s.probeAt = true, r.now
		r.act(HealthCheck{s.ID})
	}
}

// end forgets a request once it has ended and nothing of it is out.
func (r *Router) end(q *request) {
	q.ended, q.parked = true, false
	if r.line.Remove(q) { // those that wait for its fetch need another one
		r.land(q, false)
	}
	if q.open == 0 {
		delete(r.requests, q.ID)
	}
}

// repeatBy is until when another attempt of a keyed request that may have run is dropped as a repeat; 0 is no bound. It has to be
// written by then.
func (r *Router) repeatBy(q *request) Time {
	if q.risk == nil || q.class.Effect != Deduplicated {
		return 0
	}
	return q.risk.at + q.class.DedupWindow - 2*r.set.Tick
}

// jitter is full jitter: any moment up to a wait, so that routers which had the same news do not act on it together.
func (r *Router) jitter(wait time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(max(wait, 1))))
}

// How routers spread their calls for the list, which one service answers for all, and the protocol's bounds on them.
const (
	listPace = 50 * time.Millisecond // between two calls, where there is time for that
	listTold = 6 * time.Second       // what the list has to tell counts as told so long after it could be had, heard or not
	listCall = 2 * time.Second       // a call that waits for longer fails
)

// slack is what is left of the time between a change and the last attempt that may ignore it, once the news of it took so long,
// the call that brings it was answered, and upkeep got round to make it.
func (r *Router) slack(news time.Duration) time.Duration {
	told := listTold
	if r.set.MaxPollInterval > 0 {
		told = min(told, r.set.MaxPollInterval)
	}
	return max(upkeepEvery, told+r.set.DrainGrace-news-listCall-upkeepEvery)
}

// spread is the time over which routers spread their first calls for the list: a watch that falls silent as a change is made is
// found out a while later.
func (r *Router) spread() time.Duration {
	return min(listPace*time.Duration(r.set.Nodes), r.slack(polling.WatchTimeout))
}

// patience is the longest that a router waits after a call that failed: the list may be there again the moment after the call was
// made, and it is given up late.
func (r *Router) patience() time.Duration { return r.slack(polling.CallTimeout) }

// fleet takes it how many routers share the traffic: what is divided by them, or spread over them, is so anew.
func (r *Router) fleet(n int) {
	if n <= 0 {
		n = r.configured
	}
	r.set.Nodes, r.talk.FleetSize = n, n
	r.calls.SpreadOver = r.spread()
	r.shares.Resize(n)
}

// hold takes it who has a duty from now on.
func (r *Router) hold(e RoleAssigned) {
	switch r.who[e.Role] = e.Responsibility; e.Role {
	case DiscoveryPoller:
		r.calls.Assign(r.now, e.Responsibility)
	case HealthChecker:
		r.talk.IsHealthChecker = e.Responsibility == AssignedHere
	}
}

// away is how many times as long a router leaves a silent server alone whose probes are another one's duty. Whoever finds
// it back tells all, so that one that the holder alone can't reach is found within away times the pace of the whole fleet.
const away = 16

// again is how long this router leaves a silent server alone between two probes. The pace is that of all routers together;
// whose duty it is probes for all of them and tells at once.
func (r *Router) again() time.Duration {
	usual := max(askEvery, r.pace*time.Duration(r.set.Nodes))
	switch r.who[HealthChecker] {
	case AssignedHere:
		return upkeepEvery / 2 // at each look
	case AssignedElsewhere:
		return away * usual
	}
	return usual
}

// standing is what the cache servers are to the budget of ejections.
func (r *Router) standing() []outlier.Server {
	r.wants = r.wants[:0]
	for _, s := range r.servers {
		if s == r.origin || !s.listed || r.set.OriginKind != "" && s.Kind == r.set.OriginKind {
			continue
		}
		e := outlier.Server{Size: r.size(s), Out: 1 - r.warmth(s), Wants: s.opinion.EjectionFraction(), Order: s.hash}
		if s.silent || s.State != Live {
			e.Out = 1
		}
		r.wants = append(r.wants, e)
	}
	return r.wants
}

// over tells whether so many cache servers are out that none goes on another router's word alone.
func (r *Router) over() bool { return r.eject.On() && r.eject.Over(r.standing()) }

// bound keeps what cache servers give up within the budget, where there is one.
func (r *Router) bound() {
	if !r.eject.On() {
		return
	}
	all := r.standing()
	r.granted = slices.Grow(r.granted[:0], len(all))[:len(all)]
	short, i := r.eject.Grant(all, r.granted), 0
	for _, s := range r.servers {
		if i < len(all) && all[i].Order == s.hash {
			s.opinion.LimitEjection(r.granted[i])
			i++
		}
	}
	if short != r.short {
		if r.short = short; short {
			r.logf("too many cache servers are out: bad ones keep their keys")
		} else {
			r.logf("no more cache servers are out than may be")
		}
	}
}

// add takes timings that another router told of.
func (g *gauge) add(now Time, n, bad float64) {
	g.age(now)
	g.n, g.slow = g.n+n, g.slow+bad
}

// count takes a timing, for all that the gauge is a part of too.
func (g *gauge) count(now Time, took time.Duration, failed bool) {
	if g.pool != nil {
		g.pool.count(now, took, failed)
	}
	g.age(now)
	g.n++
	if failed || took > g.target {
		g.slow++
	}
	if failed || took > g.max {
		g.over++
	}
}

// age lets timings fade: fast while there are plenty, slowly once fewer than enough are left. A router among
// hundreds has a fetch every few seconds, and judges by the last few.
func (g *gauge) age(now Time) {
	if g.n > 0 && now > g.at {
		n := decay.Fade(g.n, now-g.at, window, enough, maxAge)
		g.n, g.slow, g.over = n, g.slow*n/g.n, g.over*n/g.n
	}
	g.at = now
}

// slowPart is the share of recent work over the target.
func (g *gauge) slowPart(now Time) float64 {
	slow, _ := g.utilisation(now)
	return slow
}

// avoids tells whether a request is not to go to a server that would do for its key.
func (q *request) avoids(s *server) bool { return s == q.avoid || q.turned && s.opinion.IsSuspect() }

// elsewhere has a request go on past a server that turned it away, and past all that do as badly, if one is left.
func (r *Router) elsewhere(q *request, s *server) bool {
	avoid := q.avoid
	q.avoid, q.turned = s, true
	if other, _ := r.next(mix(hash(q.Key)%slots+1), 0, q); other != nil {
		return true
	}
	q.avoid, q.turned = avoid, false
	return false
}

// movable tells whether an attempt may be called off for another one.
func (a *attempt) movable(r *Router) bool {
	return r.set.MayCancel && !a.q.ended && a.q.class.Effect == Idempotent
}

func (r *Router) cancel(a *attempt) {
	r.act(Cancel{ID: a.q.ID, Attempt: slices.Index(a.q.attempts, a)})
}

// drop forgets an attempt that is no longer waited for.
func (g *gauge) drop(a *attempt) {
	g.out = slices.DeleteFunc(g.out, func(b *attempt) bool { return a == b })
}

// oldest is when the oldest attempt still out was sent, or now.
func (g *gauge) oldest(now Time) Time {
	if len(g.out) == 0 {
		return now
	}
	return g.out[0].at
}

// attempt finds an attempt that is out.
func (r *Router) attempt(id uint64, n int) *attempt {
	q := r.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || !q.attempts[n].open {
		return nil
	}
	return q.attempts[n]
}

// server finds a server by its id, or adds it.
func (r *Router) server(id string) *server {
	s := r.byID[id]
	if s == nil {
		s = &server{hash: hash(id), heard: r.now}
		s.gauge.objectives, s.gauge.pool = r.pool.objectives, &r.pool
		s.opinion = gossip.NewAssessment(gossip.FingerprintOf(s.hash))
		r.byID[id], r.byMark[s.opinion.Fingerprint] = s, s
		at, _ := slices.BinarySearchFunc(r.servers, id, func(s *server, id string) int {
			return strings.Compare(s.ID, id)
		})
		r.servers = slices.Insert(r.servers, at, s)
	}
	return s
}

// forgetServers drops servers that left the list and have nothing out, and counts those that take keys.
func (r *Router) forgetServers() {
	r.takers, r.units = 0, 0
	var home, all float64
	r.servers = slices.DeleteFunc(r.servers, func(s *server) bool {
		if r.takesKeys(s) {
			r.takers++
			r.units += s.Capacity
			weight := 1.0
			if r.set.WeightByCapacity && s.Capacity > 0 {
				weight = s.Capacity
			}
			if all += weight; s.Zone == r.set.Zone {
				home += weight
			}
		}
		gone := !s.listed && !s.probing && len(s.gauge.out) == 0
		if gone {
			delete(r.byID, s.ID)
			delete(r.byMark, s.opinion.Fingerprint)
		}
		return gone
	})
	r.homePart = home / max(all, 1e-9)
	r.units /= max(r.takers, 1)
}

// heat is the part of an average server's requests that other requests for the key bring, at all routers.
func (r *Router) heat(key string) float64 {
	return r.keys.Heat(gossip.FingerprintOf(hash(key)), r.takers)
}

// tell gives the other routers what there is to tell, when it is time.
func (r *Router) tell() {
	if data := r.talk.NextDatagram(r.now, r.rng.Float64()); data != nil {
		r.act(Gossip{data})
	}
}

// size is that of a server against the mean, where the list states sizes.
func (r *Router) size(s *server) float64 {
	if !r.set.WeightByCapacity || s.Capacity <= 0 || r.units <= 0 {
		return 1
	}
	return s.Capacity / r.units
}

// forgetKeys drops keys that are no longer asked for and scales the counts back, now and then.
func (r *Router) forgetKeys() {
	r.keys.Sweep(r.now)
	if r.now < r.sweepAt {
		return
	}
	r.sweepAt = r.now + countAge
	for _, s := range r.servers {
		s.asked /= r.one
	}
	r.all, r.served, r.one = r.all/r.one, r.served/r.one, 1
}
