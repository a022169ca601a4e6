// Package load says when which request is due: arrivals on a schedule drawn ahead, whether or not answers come back. It
// has no clock and no I/O; package clients sends what it draws. Shapes add up, and the same specification and seed
// give the same arrivals, request for request.
package workload
