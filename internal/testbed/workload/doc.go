// Package workload draws an open-loop schedule of requests: their arrival times do not depend on whether or when earlier
// requests are answered. The package uses no clock and no I/O; package clients sends the requests. The rates of several
// arrival processes add up. The same specification and seed always give the same requests.
package workload
