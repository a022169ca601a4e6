package policy

import (
	"fmt"
	"time"
)

// Time is a point on the caller's clock, counted from any fixed origin. It only moves forward.
type Time = time.Duration

// Effect says how far a class of requests may be retried.
type Effect int

// The effects of a request.
const (
	Idempotent   Effect = iota // may be retried at any time
	Deduplicated               // servers of one scope drop repeats within a window
	AtMostOnce                 // may be retried only where no earlier attempt can have been executed
)

// DedupScope says which servers drop the repeats of a Deduplicated request.
type DedupScope int

// The groups of servers that share which requests they have seen.
const (
	AllServers DedupScope = iota // every server
	SameZone                     // servers in the zone of the attempt that was possibly executed
	SameCell                     // servers in its cell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	PriorityWeight   float64       // weight of one answer, relative to other classes
	LatencyObjective time.Duration // an answer within it earns the full weight
	LateFraction     float64       // fraction of the weight that a later answer earns
	Effect           Effect
	DedupScope       DedupScope    // Deduplicated only
	DedupWindow      time.Duration // Deduplicated only: how long repeats are dropped, from the send possibly executed
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all routers together
}

// Settings are what a router is given at its start.
type Settings struct {
	Nodes             int    // how many routers share the traffic
	Zone              string // of this router
	Classes           []Class
	Tenants           []Tenant
	OverQuotaFraction float64 // fraction of the priority weight left to traffic beyond a tenant's quota
	OriginKind        string  // Server.Kind of the origin; empty where servers fetch for themselves
	WeightByCapacity  bool    // Server.Capacity states a size that weighs in the spread of keys
	MustPoll          bool    // the endpoint list comes only to a router that subscribes

	// A router without a watch that has not polled for MaxPollInterval counts as notified. DrainGrace after it was
	// notified that a server drains or is gone, nothing more may be sent there.
	MaxPollInterval, DrainGrace time.Duration

	MayHealthCheck bool // HealthCheck is allowed
	MayGossip      bool // Gossip is allowed
	MayCancel      bool // Cancel is allowed

	// What connections cost, in points of the service: 100 idle ones at each server, and a new one for each request;
	// and what each request costs that crosses zones once. Zero is no cost.
	ConnectionCost, HandshakeCost, CrossZoneCost float64

	// AffinityBudget is the fraction of reads, up to 1, that may leave the server which owns their key for one of the
	// own zone, where crossing zones has a cost. locality.DefaultAffinityBudget is the usual value.
	AffinityBudget float64

	// MaxEjectedFraction is the fraction of the cache servers that may be out at once before outliers keep their
	// keys. Servers that drain, are unresponsive or warm up count, and what others give up as outliers. 0 is no
	// bound.
	MaxEjectedFraction float64

	MaxAttempts   int           // attempts that a request may have
	MaxRetryAfter time.Duration // longest Retry-After that clients follow; 0 where none may be given
	Tick          time.Duration // shortest gap between two calls with different times

	SlowStartFloor    float64       // fraction of its capacity that a server has at its start, at least
	SlowStartDuration time.Duration // it has all of its capacity no later than this after its start
	OverloadFactor    float64       // this multiple of its capacity of the moment overloads a server that warms up
}

// SettingsError names a field of Settings that makes no sense.
type SettingsError struct {
	Field  string // as in Go, without "Settings."; of an element, the path to its field
	Reason string // what it has to be
}

// Error returns the field and the reason.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("policy: Settings.%s %s", e.Field, e.Reason)
}

const (
	mustNotBeNegative   = "must not be negative"
	mustBeFromZeroToOne = "must be from 0 to 1"
	mustBePositive      = "must be above 0"
	mustBeAtLeastOne    = "must be at least 1"
	mustNotBeEmpty      = "must not be empty"
)

// fieldCheck is one field of the settings and whether its value makes sense.
type fieldCheck struct {
	isValid       bool
	field, reason string
}

// firstInvalid returns an error that names the first field which makes no sense.
func firstInvalid(checks []fieldCheck) error {
	for _, check := range checks {
		if !check.isValid {
			return &SettingsError{Field: check.field, Reason: check.reason}
		}
	}
	return nil
}

// isFraction reports whether x is from 0 to 1; NaN is not.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// validate returns a *SettingsError that names the first field which makes no sense.
func (s *Settings) validate() error {
	checks := []fieldCheck{
		{s.Nodes >= 1, "Nodes", mustBeAtLeastOne},
		{s.MaxAttempts >= 1, "MaxAttempts", mustBeAtLeastOne},
		{isFraction(s.SlowStartFloor), "SlowStartFloor", mustBeFromZeroToOne},
		{s.SlowStartDuration >= 0, "SlowStartDuration", mustNotBeNegative},
		{s.OverloadFactor > 0, "OverloadFactor", mustBePositive},
		{s.OverQuotaFraction >= 0, "OverQuotaFraction", mustNotBeNegative},
		{s.MaxPollInterval >= 0, "MaxPollInterval", mustNotBeNegative},
		{s.DrainGrace >= 0, "DrainGrace", mustNotBeNegative},
		{s.Tick >= 0, "Tick", mustNotBeNegative},
		{s.MaxRetryAfter >= 0, "MaxRetryAfter", mustNotBeNegative},
		{s.ConnectionCost >= 0, "ConnectionCost", mustNotBeNegative},
		{s.HandshakeCost >= 0, "HandshakeCost", mustNotBeNegative},
		{s.CrossZoneCost >= 0, "CrossZoneCost", mustNotBeNegative},
		{isFraction(s.AffinityBudget), "AffinityBudget", mustBeFromZeroToOne},
		{isFraction(s.MaxEjectedFraction), "MaxEjectedFraction", mustBeFromZeroToOne},
		{len(s.Classes) > 0, "Classes", mustNotBeEmpty},
	}
	for _, class := range s.Classes {
		path := func(field string) string { return fmt.Sprintf("Classes[%q].%s", class.Name, field) }
		checks = append(checks,
			fieldCheck{class.PriorityWeight >= 0, path("PriorityWeight"), mustNotBeNegative},
			fieldCheck{class.LatencyObjective > 0, path("LatencyObjective"), mustBePositive},
			fieldCheck{class.DedupWindow >= 0, path("DedupWindow"), mustNotBeNegative})
	}
	for _, tenant := range s.Tenants {
		path := fmt.Sprintf("Tenants[%q].Quota", tenant.Name)
		checks = append(checks, fieldCheck{tenant.Quota >= 0, path, mustNotBeNegative})
	}
	return firstInvalid(checks)
}
