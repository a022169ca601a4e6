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

// request is an arrival with the id that it is sent under.
type request struct {
	workload.Arrival
	id string
}

// requests returns a function that gives out the requests of the source or the schedule, until it returns false. Ids start
// with a random number, so that those of several runs differ.
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

// runOpenLoop sends each request when it is due, whether or not the ones before were answered.
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

// runClosedLoop starts clients that each send a request as soon as the one before has its answer.
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
				r.At = time.Since(c.start) // due when its client has time for it, which is what a closed loop hides
				c.generator.requestStarted(0, c.options.MaxInFlight)
				c.send(r)
				c.generator.requestEnded()
			}
		})
	}
}

// sharedSource gives out requests to several clients.
type sharedSource struct {
	clients *Clients
	mu      sync.Mutex
	next    func() (request, bool)
}

// take returns the next request. A schedule that has ended, because the clients are faster than it, begins anew with another
// seed; a source of the options does not.
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
