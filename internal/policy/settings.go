package policy

import (
	"fmt"
	"time"
)

// Time is a point on the caller's clock, measured from any fixed start. It only moves forward.
type Time = time.Duration

// Effect says under which conditions a class of requests may be retried.
type Effect int

// The values of Effect.
const (
	Idempotent   Effect = iota // may be retried at any time
	Deduplicated               // may be retried within DedupWindow at servers in DedupScope, which drop duplicates
	AtMostOnce                 // may be retried only if no earlier attempt can have been executed
)

// DedupScope says which servers recognise a Deduplicated request that was possibly executed already, and drop it.
type DedupScope int

// The values of DedupScope.
const (
	AllServers DedupScope = iota // all servers drop a request that was possibly executed already
	SameZone                     // only servers in the zone of the possibly executed attempt drop the request
	SameCell                     // only servers in the zone and cell of the possibly executed attempt drop the request
)

// Class describes one class of requests.
type Class struct {
	Name             string
	PriorityWeight   float64       // value of an answer within LatencyObjective, relative to other classes
	LatencyObjective time.Duration // an answer within this time earns the full PriorityWeight
	LateFraction     float64       // fraction of PriorityWeight that an answer after LatencyObjective earns
	Effect           Effect
	DedupScope       DedupScope    // Deduplicated only: servers that drop a request that was executed before
	DedupWindow      time.Duration // Deduplicated only: time after an attempt in which servers drop its duplicates
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all routers together
}

// Settings configures a router.
type Settings struct {
	Nodes             int    // number of routers that share the traffic
	Zone              string // zone of this router
	Classes           []Class
	Tenants           []Tenant
	OverQuotaFraction float64 // multiplies the priority weight of requests beyond their tenant's quota
	OriginKind        string  // Server.Kind of the origin; empty if servers fetch from the origin themselves
	WeightByCapacity  bool    // keys are distributed over servers in proportion to Server.Capacity
	MustPoll          bool    // the router gets the endpoint list only after a Subscribe action

	// Bounds on the use of a stale endpoint list. Once a router has known for DrainGrace that a server drains or is
	// gone, it may send nothing more to that server. A router that has no watch and has not polled for MaxPollInterval
	// is treated as if it had been notified of all changes.
	MaxPollInterval, DrainGrace time.Duration

	MayHealthCheck bool // HealthCheck actions are allowed
	MayGossip      bool // Gossip actions are allowed
	MayCancel      bool // Cancel actions are allowed

	// Costs, all in the service's own cost points; 0 means no cost. ConnectionCost is the cost of 100 idle connections
	// at each server. HandshakeCost is the cost if each request opens a new connection. CrossZoneCost is the cost if
	// each request crosses once from one zone to another.
	ConnectionCost, HandshakeCost, CrossZoneCost float64

	// AffinityBudget is the fraction of reads, up to 1, that may go to a server in this router's zone instead of the
	// owner of their key. It has an effect only if CrossZoneCost is above 0. The usual value is
	// locality.DefaultAffinityBudget.
	AffinityBudget float64

	// MaxEjectedFraction is the fraction of the cache servers' total capacity that may be out of use at once. Once
	// this bound is reached, further outliers keep their keys. The capacity of a server is out of use while the server
	// drains or is unresponsive. Part of it is out of use in slow start, and while the server gives up slots as an
	// outlier. 0 means no bound.
	MaxEjectedFraction float64

	MaxAttempts   int           // maximum number of attempts of a request
	MaxRetryAfter time.Duration // longest Retry-After that clients follow; 0 if none may be given
	Tick          time.Duration // two calls of Handle at different times are at least this far apart

	SlowStartFloor    float64       // fraction of its slots that a server gets as soon as it has started
	SlowStartDuration time.Duration // time from the start of a server until it has all of its slots
	OverloadFactor    float64       // load that overloads a server in slow start, divided by the load of its slots
}

// SettingsError reports an invalid field of Settings.
type SettingsError struct {
	Field  string // Go name of the field; for an element of a slice, a path such as Tenants["a"].Quota
	Reason string // what the value must be, such as "must be above 0"
}

// Error returns the name of the field and the reason.
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

// fieldCheck is the result of the validation of one field of the settings.
type fieldCheck struct {
	isValid       bool
	field, reason string
}

// firstInvalid returns a *SettingsError for the first invalid field, or nil.
func firstInvalid(checks []fieldCheck) error {
	for _, check := range checks {
		if !check.isValid {
			return &SettingsError{Field: check.field, Reason: check.reason}
		}
	}
	return nil
}

// isFraction reports whether x is from 0 to 1. It returns false for NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// validate returns a *SettingsError for the first invalid field, or nil.
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
