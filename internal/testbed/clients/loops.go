package clients

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"shelfproxy/internal/testbed/workload"
)

// request is an arrival with its request id.
type request struct {
	workload.Arrival
	id string
}

// requests returns a function that returns the next request at each call: from Options.Source or, if that is nil, from the plan's
// schedule. The function returns false after the last request. Request ids start with a random number, so that the ids of several
// runs differ.
func (c *Clients) requests() func() (request, bool) {
	source := c.options.Source
	if source == nil {
		source = workload.New(c.plan.Workload).Next
	}
	run := strconv.FormatUint(rand.Uint64()>>32, 16)
	number := 0
	return func() (request, bool) {
		arrival, ok := source()
		number++
		if ok && c.options.Record != nil {
			c.options.Record(arrival)
		}
		return request{Arrival: arrival, id: fmt.Sprintf("%s-%d", run, number)}, ok
	}
}

// runOpenLoop sends each request when it is due, whether or not earlier requests were answered.
func (c *Clients) runOpenLoop(ctx context.Context, next func() (request, bool)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r, ok := next(); ok; r, ok = next() {
		timer.Reset(time.Until(c.start.Add(r.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if !c.generator.requestStarted(time.Since(c.start)-r.At, c.options.MaxInFlight) {
			c.count(r, func(class *Class) { class.Scheduled++; class.Unsent++ })
			continue
		}
		c.running.Go(func() {
			defer c.generator.requestEnded()
			c.send(r)
		})
	}
}

// runClosedLoop starts clients that each send their next request as soon as their last request was answered.
func (c *Clients) runClosedLoop(ctx context.Context, next func() (request, bool)) {
	if c.plan.Peak() <= 0 {
		return
	}
	source := &sharedSource{clients: c, next: next}
	end := c.start.Add(c.plan.Length)
	for range c.options.ClosedLoop {
		c.running.Go(func() {
			for ctx.Err() == nil && time.Now().Before(end) {
				r, ok := source.take()
				if !ok {
					return
				}
				r.At = time.Since(c.start) // a request is due only when its client is free, so a closed loop hides stalls
				c.generator.requestStarted(0, c.options.MaxInFlight)
				c.send(r)
				c.generator.requestEnded()
			}
		})
	}
}

// sharedSource distributes requests to several clients. It is safe for concurrent use.
type sharedSource struct {
	clients *Clients
	mu      sync.Mutex
	next    func() (request, bool)
}

// take returns the next request. If the clients are faster than the schedule and have reached its end, take continues with
// the schedule of another seed. At the end of Options.Source, take returns false.
func (s *sharedSource) take() (request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.next()
	for !ok && s.clients.options.Source == nil {
		s.clients.plan.Workload.Seed++
		s.next = s.clients.requests()
		r, ok = s.next()
	}
	return r, ok
}
