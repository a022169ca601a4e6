// Package workload draws the requests of a load ahead of time: an open-loop schedule of arrivals that does not depend on
// whether or when earlier ones are answered. It has no clock and no I/O; package clients sends what it draws. The rates of
// several arrival processes add up. The same specification and seed give the same arrivals, request for request.
package workload
