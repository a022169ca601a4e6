// The decisions of a router; api.go is the interface: the settings, events and actions used here.
//
// The ordinary path of a read: its key hashes to a slot and the slot to a cache server (pick). A hit ends
// it. On a miss the router fetches from the origin, timing the fetch (fetch, outcome). Timings become latency
// utilisation (gauge), and past a bucket's threshold a rising share of that bucket's misses is refused,
// lowest worth first (shed). Everything else here is for when something fails.
package policy

import (
	"math"
	"slices"
	"strconv"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/decay"
	"shelfproxy/internal/policy/locality"
)

const (
	slots       = 4096                    // keys move between servers by slot
	window      = 1500 * time.Millisecond // a timing weighs 1/e after this long
	enough      = 4.0                     // samples that utilisation is judged from, at least
	maxAge      = 8 * time.Second         // like window, where there are fewer than enough
	coldBudget  = 0.7                     // part of the load that would push a cold server over
	quietCount  = 64                      // quiet timings kept to learn objectives from
	targetOver  = 3                       // target over the normal median
	creep       = 50                      // a learned target rises by 1/creep at a time
	quietFirst  = 2                       // objectives count from this many on
	calm        = 0.2                     // utilisation up to which timings count as quiet
	hotShare    = 0.5                     // part of a server's fair share past which one key is hot
	servedPrior = 0.1                     // answers a server assumed, so that a new router uses cold ones
	countEnough = 8.0                     // requests a server that its part is judged from, at least
	countAge    = 30 * time.Second        // like maxAge, for that
	criticalMax = 0.2                     // share over the maximum past which critical reads are refused too
	poolFloor   = 0.5                     // cache servers' target over the shortest aim, at least
	hitPart     = 0.125                   // of a threshold, for hits: only a queue makes them slow
	ahead       = 1e6                     // worth of a write in line beside that of any read
	moveMost    = 4                       // reads that move on from a cache server at a time
	refusedBy   = 50 * time.Millisecond   // a connect that fails sooner was refused: nobody listens
	wholeBy     = 4                       // hits without a miss that show a memory that is whole
	maxResets   = 2                       // probes in a row that may break before that counts as no answer
	inHand      = 2                       // reads out at a cache server from which it can count as crowded
	spill       = 0.05                    // origin utilisation up to which a full server's reads move on
	backoff     = 25 * time.Millisecond   // first wait after a server was full
	cutOff      = 4                       // connects that fail in a row before a zone counts as out of reach
	pace        = 10 * time.Millisecond   // between two routers' probes of a server believed silent
	paceTold    = 50 * time.Millisecond   // the same where the one that finds it back tells the others
	askEvery    = time.Second             // first wait before asking a silent server again
	housekeep   = uint64(1) << 62         // timer tokens from here on are not request ids
	upkeepEvery = 250 * time.Millisecond
)

// thresholds give the utilisation past which a bucket's misses are refused, all at twice that. At 0.1 calm
// days had 17 to 45% of reads refused; from 0.6 on overload was not held.
var thresholds = [...]float64{critical: math.Inf(1), degraded: 0.55, bestEffort: 0.55, bulk: 0.45}

// leastWorth is the worth, of the greatest, that a read of each bucket is above.
var leastWorth = [...]float64{critical: 0.7, degraded: 0.3, bestEffort: 0.12}

// learn takes a quiet timing into target and maximum, which fall at once and rise slowly: a crowd that
// builds up must not pass for the normal time. Before the first timings the shortest aim is the target.
func (o *objectives) learn(took time.Duration) {
	o.quiet[o.next%quietCount] = took
	if o.next++; o.next >= quietFirst && (o.next < quietCount || o.next%8 == 0) {
		sorted := slices.Sorted(slices.Values(o.quiet[:min(o.next, quietCount)]))
		target := min(o.limit, sorted[len(sorted)/2]*targetOver)
		if o.next > quietCount {
			target = min(target, o.target+o.target/creep)
		}
		target = max(target, o.floor)
		o.target, o.max = target, target*2
	}
}

// observe takes the timing of an answer or a failure, which counts over the maximum.
func (g *gauge) observe(now Time, took time.Duration, failed bool) {
	if !failed && !g.held && g.slowPart(now) < calm {
		g.learn(took) // never from stressed times
	}
	g.count(now, took, failed)
}

// utilisation is the share of recent work over the target and over the maximum. Work still out past them
// counts already: a stalled origin answers nothing that could be timed.
func (g *gauge) utilisation(now Time) (target, maximum float64) {
	g.age(now)
	n, slow, over := g.n, g.slow, g.over
	for _, a := range g.out {
		if now-a.at <= g.target {
			break
		}
		n, slow = n+1, slow+1
		if now-a.at > g.max {
			over++
		}
	}
	if missing := enough - n; missing > 0 {
		// Few samples: what all cache servers show stands in for those missing; nothing else is assumed bad.
		if n = enough; g.pool != nil {
			target, maximum = g.pool.utilisation(now)
			slow, over = slow+missing*target, over+missing*maximum
		}
	}
	return slow / n, over / n
}

// warmth is the share of its slots that a server has: a cold one takes them back until it is sure to be warm.
func (r *Router) warmth(s *server) float64 {
	if s.cold == 0 || r.now >= s.cold+r.set.SlowStartDuration {
		return 1
	}
	age := max(0, float64(r.now-s.cold)/float64(r.set.SlowStartDuration))
	return r.set.SlowStartFloor + (1-r.set.SlowStartFloor)*age
}

// next maps a slot to cache servers by weighted rendezvous hashing: the one with the lowest score above after
// (the owner if after is 0). A cold server weighs as little as its warmth. Routers agree without talking.
func (r *Router) next(slot uint64, after float64, q *request) (best *server, score float64) {
	score = math.Inf(1)
	for _, s := range r.servers {
		if s.opinion.KeptFraction < 1 && unit(mix(slot+s.hash)) >= s.opinion.KeptFraction {
			continue // a bad server keeps part of its slots, the same ones at every router
		}
		// A zone that is cut off must not be found out server by server: each costs a connect that fails.
		cut := r.set.MayHealthCheck && s.Zone != r.set.Zone && r.unreached[s.Zone] >= cutOff
		if s.silent && (r.set.MayHealthCheck || s.breaker.Open(r.now)) || cut || q.avoids(s) ||
			!r.takesKeys(s) {
			continue
		}
		weight := r.warmth(s)
		if r.set.WeightByCapacity && s.Capacity > 0 {
			weight *= s.Capacity
		}
		if s.Zone != r.set.Zone {
			weight *= r.reach.Weight()
		}
		u := unit(mix(slot ^ s.hash))
		if 1-u >= score*weight { // cannot win, as -log(u) is no less; spares most of the logarithms
			continue
		}
		if at := -math.Log(u) / weight; at > after && at < score {
			best, score = s, at
		}
	}
	return best, score
}

// saw takes a timing of a server, tells the other routers of one that is in doubt, and judges it anew.
func (r *Router) saw(s *server, took time.Duration, failed bool) {
	s.gauge.observe(r.now, took, failed)
	if s != r.origin {
		r.talk.AttemptEnded(&s.opinion, s.gauge.n, failed || took > s.gauge.target, r.rng.Float64())
	}
	r.judge(s)
}

func (r *Router) judge(s *server) {
	s.opinion.Update(s.gauge.slowPart(r.now), r.pool.slowPart(r.now))
	r.bound()
}

// hear takes what another router met as if this one had met it: alone it meets most servers too seldom.
func (r *Router) hear(e GossipReceived) {
	news, _ := gossip.Decode(e.Data) // one that is malformed counts for nothing
	for _, key := range news.Keys {
		r.keys.Count(r.now, key, float64(len(r.servers)))
	}
	for _, n := range news.Observations {
		s := r.byMark[n.Server]
		if s == nil || s == r.origin {
			continue
		}
		if s.gauge.n < 2*enough { // else this router knows enough itself
			s.gauge.add(r.now, float64(n.Attempts), float64(n.Failures))
		}
		r.judge(s)
		switch heard := r.now - s.heard; {
		case n.Recovered && s.silent && r.now-s.since > askEvery || !s.silent && n.Attempts > n.Failures:
			r.alive(s)
		case n.Unresponsive && !s.silent && heard > askEvery/2 &&
			s.opinion.Corroborate(r.now, e.From, s.doubted > s.heard) && (s.doubted > s.heard || !r.over()):
			r.silence(s)
		}
	}
}

// count counts a request, and its key for all routers. Counts fade by making later ones weigh more.
func (r *Router) count(key string) {
	r.one = decay.Weight(r.all, r.one, r.now-r.allAt, window, countEnough*float64(len(r.servers)), countAge)
	r.all, r.allAt = r.all+r.one, r.now
	r.keys.Count(r.now, gossip.FingerprintOf(hash(key)), float64(len(r.servers)))
	r.talk.KeyRequested(gossip.FingerprintOf(hash(key)), r.heat(key)/max(1, r.takers), r.rng.Float64())
	r.tell()
}

// pick takes the slot's owner. A key that alone brings more than a part of its fair share would swamp it: it
// is spread over as many of the next servers as bring it under that part of each, the least busy of them.
func (r *Router) pick(q *request) *server {
	slot := mix(hash(q.Key)%slots + 1)
	s, at := r.next(slot, 0, q)
	var best *server
	over := r.heat(q.Key) / hotShare
	part := r.one / float64(1+int(over))
	for tried := 0; s != nil; s, at = r.next(slot, at, q) {
		if r.warmth(s) < 1 { // its lot alone decides: with little out it would always be the least busy
			if s.asked += r.one; r.mayTake(s, q) {
				return s
			}
			continue
		}
		s.asked += part
		tried++
		if best == nil || len(s.gauge.out) < len(best.gauge.out) ||
			len(s.gauge.out) == len(best.gauge.out) && r.rng.IntN(tried) == 0 {
			best = s
		}
		if over -= r.size(s); over < 0 {
			break
		}
	}
	return best
}

// mayTake keeps a cold server from being pushed over by a hot key or a surge, by all together. It gets
// a safe part of what one of its size answers here, and grows at half the pace for a router with few timings.
// Lots are drawn, by what all know of the key; one not met may just now begin to come everywhere.
func (r *Router) mayTake(s *server, q *request) bool {
	warmth := r.warmth(s)
	mean := (r.served + servedPrior*r.one) * r.size(s)
	asked := max(s.asked-r.one, r.heat(q.Key)*(r.all/r.takers+servedPrior*r.one)) + warmth*mean
	late := (warmth - r.set.SlowStartFloor) / 2 * (1 - min(1, enough/float64(r.set.Nodes)))
	safe, lot := coldBudget*r.set.OverloadFactor*(warmth-late)*mean, r.rng.Float64()
	if !r.keys.Met(gossip.FingerprintOf(hash(q.Key))) && safe < r.one {
		lot /= max(warmth, safe/r.one)
	}
	return lot*asked < safe
}

// shed tells whether work of this bucket is refused at this utilisation: none below the threshold, then a
// rising share, spread evenly.
func (r *Router) shed(b bucket, g *gauge) bool {
	target, maximum := g.utilisation(r.now)
	width := thresholds[b]
	if n := float64(r.line.Len()); g.pool != nil {
		width *= hitPart
	} else if n > 0 { // what waits in line would be slow too
		target = (target*g.n + n) / (g.n + n)
	}
	over := target - width
	if b == critical {
		width = thresholds[degraded]
		over = min(maximum-criticalMax, target-1.5*width) // never before the others
	}
	return over > 0 && r.lot(b, over/width)
}

// lot tells whether this one is due of a share of a bucket's work, spread evenly.
func (r *Router) lot(b bucket, share float64) bool {
	whole, rest := math.Modf(r.owed[b] + min(1, share))
	r.owed[b] = rest
	return whole >= 1
}

func (r *Router) request(e Request) {
	c := r.classes[e.Class]
	if c == nil {
		c = &r.set.Classes[0]
	}
	if e.Key == "" {
		e.Key = strconv.FormatUint(e.ID, 10) // nothing to keep together
	}
	q := &request{Request: e, class: c, aim: min(r.now+c.LatencyObjective, e.Deadline)}
	r.requests[e.ID] = q
	r.count(e.Key)
	q.worth = c.PriorityWeight / r.topWorth
	if q.beyond = !r.shares.Within(r.now, e.Tenant); q.beyond {
		q.worth *= r.set.OverQuotaFraction
	}
	for !e.Write && q.bucket < bulk && q.worth <= leastWorth[q.bucket] {
		q.bucket++
	}
	r.budgets[c].RecordAttempt(r.now)
	// A node that is behind refuses a share of what it may. What has less time left than the quickest answers
	// of late took would only fail later.
	behind := r.strain > 0 && q.bucket != critical && r.lot(q.bucket, r.strain*float64(q.bucket))
	if behind || !e.Write && e.Deadline-r.now < r.quickest {
		r.refuse(q)
		return
	}
	r.advance(q)
}

// advance takes the next step of a request that has nothing out.
func (r *Router) advance(q *request) {
	switch {
	case q.ended || q.open > 0:
	case r.now >= q.Deadline || len(q.attempts) >= r.set.MaxAttempts:
		r.giveUp(q)
	case r.set.OriginKind != "" && q.Write:
		r.enter(q) // writes are never shed
	case r.set.OriginKind != "" && r.flights[q.Key] != nil:
		// Single-flight: after a flush every reader of a popular key misses at once.
		f := r.flights[q.Key]
		f.waiting = append(f.waiting, q)
		if r.line.Contains(f.leader) { // what many wait for goes first
			r.line.Add(f.leader, q.worth)
		}
		r.park(q, r.latest(q))
	case q.missed:
		r.fetch(q)
	default:
		s := r.pick(q)
		if s == nil && r.set.OriginKind != "" {
			r.fetch(q)
			return
		}
		// Where cache servers are the bottleneck, work of the lowest buckets goes past a crowded one to a
		// quiet origin, else is refused. With next to nothing in hand its timings are old: it is not crowded.
		if s != nil && len(q.attempts) == 0 && !q.Write && len(s.gauge.out) >= inHand &&
			r.shed(q.bucket, &s.gauge) {
			if r.roomy(calm) {
				r.fetch(q)
			} else {
				r.refuse(q)
			}
			return
		}
		r.send(q, s)
	}
}

// roomy tells whether recent fetches show that the origin could do more.
func (r *Router) roomy(below float64) bool {
	return r.origin != nil && r.origin.gauge.slowPart(r.now) < below && r.origin.gauge.n > enough/2
}

// fetch gets a missed key from the origin, unless its bucket is being refused.
func (r *Router) fetch(q *request) {
	if r.origin != nil && r.shed(q.bucket, &r.origin.gauge) {
		r.refuse(q)
	} else {
		r.flights[q.Key] = &flight{leader: q}
		if r.enter(q); q.ended {
			r.land(q, false)
		}
	}
}

// enter sends to the origin if it has room, else it lets wait in line while an answer may be in time.
func (r *Router) enter(q *request) {
	if r.origin == nil || len(r.origin.gauge.out) < r.gate.Limit() {
		r.send(q, r.origin)
		return
	}
	until, worth := q.aim-r.origin.gauge.target, q.worth
	if q.Write {
		until = min(q.aim, (r.now+q.Deadline)/2) // what never left is not refused late
		if !q.beyond {
			worth += ahead
		}
	}
	r.park(q, max(r.now, until))
	r.line.Add(q, worth)
}

// release lets what is worth most go on to the origin as far as it has room.
func (r *Router) release() {
	for r.origin != nil && r.line.Len() > 0 && len(r.origin.gauge.out) < r.gate.Limit() {
		q, _ := r.line.Next()
		q.parked = false
		r.send(q, r.origin)
	}
	if r.origin != nil {
		r.origin.gauge.held = r.line.Len() > 0
	}
}

// latest is when a request is no longer worth waiting with.
func (r *Router) latest(q *request) Time {
	if q.class.LateFraction > 0 {
		return q.Deadline
	}
	return q.aim
}

// land ends a flight; those who waited go on to the cache, where the object now is.
func (r *Router) land(q *request, ok bool) {
	f := r.flights[q.Key]
	if f == nil || f.leader != q {
		return
	}
	delete(r.flights, q.Key)
	for _, w := range f.waiting {
		if !w.parked {
			continue
		}
		w.missed, w.parked = w.missed && !ok, false
		r.advance(w)
	}
}

func (r *Router) park(q *request, until Time) {
	// Whole microseconds, and none too early: what is woken before its time would be parked again at once.
	q.parked, q.wake = true, (min(until, r.latest(q)) + time.Microsecond - 1).Truncate(time.Microsecond)
	r.act(SetTimer{At: q.wake, Token: q.ID})
}

func (r *Router) unpark(q *request) {
	if q.parked = false; r.line.Contains(q) || r.now >= r.latest(q) {
		r.giveUp(q)
	} else {
		r.advance(q)
	}
}

// send starts an attempt if the rules for repeats allow one there; else it gives the request up.
func (r *Router) send(q *request, s *server) {
	if s == nil || !r.mayRepeat(q, s) {
		r.giveUp(q)
		return
	}
	s.breaker.Try(r.now)
	a := &attempt{q: q, srv: s, at: r.now, open: true}
	q.attempts = append(q.attempts, a)
	q.open++
	s.gauge.out = append(s.gauge.out, a)
	r.act(Send{ID: q.ID, Server: s.ID, WriteBy: r.repeatBy(q)})
}

// mayRepeat keeps the rule that no effect happens twice.
func (r *Router) mayRepeat(q *request, s *server) bool {
	if q.risk == nil || q.class.Effect == Idempotent {
		return true
	}
	near := s.Zone == q.risk.srv.Zone && (q.class.DedupScope == SameZone || s.Cell == q.risk.srv.Cell)
	inScope := near || q.class.DedupScope == AllServers
	return q.class.Effect == Deduplicated && inScope && r.now <= r.repeatBy(q)
}

// refuse turns a request away where the rules allow to promise that a new try does no harm.
func (r *Router) refuse(q *request) {
	c := q.class
	if q.risk == nil || c.Effect == Idempotent || c.Effect == Deduplicated && c.DedupScope == AllServers {
		r.act(Reject{ID: q.ID, RetryAfter: r.set.MaxRetryAfter})
	} else {
		r.act(Fail{q.ID})
	}
	r.end(q)
}

func (r *Router) giveUp(q *request) {
	if r.now >= q.aim {
		r.act(Fail{q.ID})
		r.end(q)
		return
	}
	r.refuse(q)
}

func (r *Router) outcome(e Outcome) {
	a := r.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	q, s := a.q, a.srv
	a.open = false
	q.open--
	s.gauge.drop(a)
	// Where idle connections of many routers cost more than new ones, none is held but to the origin.
	dear := r.set.ConnectionCost*float64(r.set.Nodes)/100 > r.set.HandshakeCost
	if dear && s != r.origin && len(s.gauge.out) == 0 {
		r.act(CloseIdle{s.ID})
	}
	if e.Ended || q.ended {
		r.end(q)
	}
	switch e.Reason {
	case Cancelled:
		if !q.ended {
			r.saw(s, e.Took, true) // moved on from
		}
	case TimedOut, NoConnection, Reset:
		if e.Reason == NoConnection {
			r.unreached[s.Zone]++
			s.refused = s.refused || e.Took < refusedBy
		}
		r.saw(s, e.Took, true)
		// None of these must be read as death. An unanswered probe takes it out; where none is allowed,
		// several in a row do that no crowd made late.
		switch crowd := e.Reason == TimedOut && r.pool.slowPart(r.now) > calm; {
		case s == r.origin:
		case r.set.MayHealthCheck && !s.silent:
			r.probe(s)
		case !r.set.MayHealthCheck && !crowd && s.breaker.Failed(r.now) && !s.silent:
			r.silence(s)
		}
	case Succeeded, Errored, Rejected:
		r.saw(s, e.Took, e.Reason != Succeeded)
		if e.Reason == Succeeded && s != r.origin {
			if r.quickest += r.quickest / creep; r.quickest == 0 || e.Took < r.quickest {
				r.quickest = e.Took
			}
			r.served += r.one / max(1, r.takers)
			if s.doubt == 1 { // so many hits and no miss: its memory is whole, it was only cut off
				s.cold = s.before
			}
			s.doubt = max(0, s.doubt-1)
		}
		fallthrough
	case Miss, CorruptResponse: // says nothing of the load
		r.alive(s)
	}
	if e.Reason == Miss {
		s.doubt = 0
	}
	mayHaveRun := []Reason{Errored, TimedOut, Reset, Cancelled, CorruptResponse}
	if q.risk == nil && slices.Contains(mayHaveRun, e.Reason) {
		q.risk = a // it may have run
	}
	if s == r.origin {
		if e.Reason != NeverSent {
			how := admission.LatencySample{IsWrite: q.Write, Latency: e.Took,
				IsRejected: e.Reason == Rejected, IsTimedOut: e.Reason == TimedOut}
			r.gate.Observe(r.now, how, s.gauge.target, len(s.gauge.out)+1)
		}
		r.land(q, e.Reason == Succeeded)
	}
	if q.ended || q.open > 0 {
		return
	}
	cache, unreached := s != r.origin, e.Reason == NoConnection || e.Reason == Reset || e.Reason == Cancelled
	switch {
	case e.Reason == Miss:
		q.missed = true
		r.advance(q)
	case cache && e.Reason == Rejected && (!r.takesKeys(s) ||
		len(q.attempts) < 3 && s.opinion.IsSuspect() && r.elsewhere(q, s)):
		r.advance(q) // it left, or others have room. Nothing was done, so it is no second attempt
	case e.Reason == TimedOut || e.Reason == NeverSent || !r.budgets[q.class].AllowRetry(r.now):
		r.giveUp(q)
	case cache && e.Reason == CorruptResponse: // again where the object is: any server does so now and then
		if len(q.attempts) > 1 {
			q.avoid = s
		}
		r.advance(q)
	case cache && (unreached || len(q.attempts) < 3 &&
		(e.Reason == Errored && !q.Write || e.Reason == Rejected && r.roomy(spill))):
		q.avoid = s
		r.advance(q)
	case cache && q.bucket == bulk:
		r.refuse(q)
	default: // wait for room: a full queue empties within a few services; the waits double
		wait := backoff << min(len(q.attempts)-1, 4)
		r.park(q, r.now+wait/2+time.Duration(r.rng.Int64N(int64(wait))))
	}
}

// alive notes a sign of life.
func (r *Router) alive(s *server) {
	s.heard, s.resets = r.now, 0
	s.breaker.Answered(r.now)
	r.unreached[s.Zone] = 0
	if s.silent {
		s.silent = false
		if r.now-s.since > askEvery {
			// It is taken to have restarted, until the list tells when or it shows a whole memory.
			if s.before, s.cold, s.doubt = s.cold, r.now, wholeBy; s.refused {
				s.doubt = 0 // its process was not there
			}
		}
		r.logf("server %s answers again", s.ID)
	}
}

func (r *Router) silence(s *server) {
	s.silent, s.since, s.refused, s.doubt = true, r.now, false, 0
	r.logf("server %s is silent: out of the map", s.ID)
	for _, a := range s.gauge.out {
		if a.movable(r) {
			r.cancel(a)
		}
	}
}

func (r *Router) probed(s *server, reason Reason) {
	s.probing = false
	switch {
	case reason != TimedOut && reason != NoConnection && reason != Reset: // turned away is a sign of life
		if s.silent {
			r.talk.Recovered(s.opinion.Fingerprint)
		}
		r.alive(s)
	case reason == Reset && s.resets < maxResets: // connections break on a bad network too: ask on another
		s.resets++
		r.probe(s)
	case s.silent || s.heard >= s.probeAt:
	case s.doubted > s.heard:
		r.talk.Unresponsive(s.opinion.Fingerprint)
		r.silence(s)
	default:
		s.doubted = r.now
		r.probe(s)
	}
}

// moveOn fetches reads from the origin that hang at a cache server for over its maximum, twice that where it
// is crowded, a few at a time while the origin is quiet.
func (r *Router) moveOn(s *server) {
	if r.pool.slowPart(r.now) > calm || !r.roomy(calm) {
		return // in a crowd it would only add to the work
	}
	patience := s.gauge.max
	if s.gauge.slow > calm*s.gauge.n {
		patience *= 2
	}
	for _, a := range s.gauge.out[:min(len(s.gauge.out), moveMost)] {
		if a.movable(r) && !a.q.Write && r.now-a.at > patience && r.budgets[a.q.class].AllowRetry(r.now) {
			a.q.missed = true
			r.cancel(a)
		}
	}
}

// upkeep looks for servers that no longer answer and asks for the list.
func (r *Router) upkeep() {
	r.act(SetTimer{At: r.now + upkeepEvery, Token: housekeep})
	r.forgetKeys()
	for _, s := range r.servers {
		if !r.takesKeys(s) {
			continue
		}
		r.judge(s)
		r.moveOn(s)
		patience := max(r.pool.max, upkeepEvery)
		quiet := r.now - max(s.gauge.oldest(r.now), s.heard)
		if s.silent && r.now-s.probeAt > r.again() ||
			!s.silent && quiet > patience && r.now-s.probeAt > patience {
			r.probe(s)
		}
	}
	if r.set.CrossZoneCost > 0 && r.origin != nil {
		r.reach.Step(locality.Load{Home: r.homePart, Origin: r.origin.gauge.slowPart(r.now),
			Near: r.home.slowPart(r.now), All: r.pool.slowPart(r.now), Waiting: r.line.Len()})
	}
	r.tell()
	if r.set.MustPoll && r.calls.Due(r.now) {
		r.act(Subscribe{})
	}
}

// list follows the server list. A failed call is made again after growing waits; the last list serves then.
func (r *Router) list(e EndpointUpdate) {
	if !r.ticking {
		r.ticking = true
		r.calls.Start(r.now)
		r.act(SetTimer{At: r.now + r.jitter(upkeepEvery), Token: housekeep})
	}
	switch e.Scope {
	case PollFailed:
		r.calls.Failed(r.now)
		return
	case DeltaUpdate, FullUpdate:
		r.calls.Succeeded()
	}
	for _, s := range r.servers {
		s.listed = s.listed && e.Scope == DeltaUpdate
	}
	for _, l := range e.Servers {
		s := r.server(l.ID)
		if l.StartedAt > s.StartedAt && r.now < l.StartedAt+r.set.SlowStartDuration {
			s.cold, s.doubt = l.StartedAt, 0
			s.silent = s.silent && l.StartedAt <= s.since
		}
		s.Server, s.listed = l, l.State != Removed
		if s.gauge.pool != nil && l.Zone == r.set.Zone {
			s.gauge.pool = &r.home
		}
		if r.set.OriginKind != "" && l.Kind == r.set.OriginKind && s != r.origin {
			r.origin = s
			s.gauge.objectives, s.gauge.pool = r.objectives(), nil
		}
	}
	if r.origin != nil && (!r.origin.listed || r.origin.State != Live) {
		r.origin = nil
	}
	r.forgetServers()
}
