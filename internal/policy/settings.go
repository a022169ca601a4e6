package policy

import (
	"fmt"
	"time"
)

// Time is a point on the caller's clock, measured from any fixed start. It only moves forward.
type Time = time.Duration

// Effect says under which conditions a class of requests may be retried.
type Effect int

// The effects of a class of requests.
const (
	Idempotent   Effect = iota // may be retried at any time
	Deduplicated               // servers of a DedupScope drop repeats within a window
	AtMostOnce                 // may be retried only if no earlier attempt can have been executed
)

// DedupScope says which servers drop the repeats of a Deduplicated request.
type DedupScope int

// The groups of servers that recognise each other's requests as repeats.
const (
	AllServers DedupScope = iota // all servers
	SameZone                     // servers in the zone of the attempt that was possibly executed
	SameCell                     // servers in the cell of the attempt that was possibly executed
)

// Class describes one class of requests.
type Class struct {
	Name             string
	PriorityWeight   float64       // value of one answer, relative to other classes
	LatencyObjective time.Duration // an answer within it earns the full weight
	LateFraction     float64       // fraction of the weight that an answer after LatencyObjective earns
	Effect           Effect
	DedupScope       DedupScope    // Deduplicated only: the servers that drop repeats
	DedupWindow      time.Duration // Deduplicated only: how long after the possibly executed send repeats are dropped
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
	OverQuotaFraction float64 // factor on the priority weight of requests beyond their tenant's quota
	OriginKind        string  // Server.Kind of the origin; empty if servers fetch from the origin themselves
	WeightByCapacity  bool    // keys are distributed in proportion to Server.Capacity
	MustPoll          bool    // the router gets the endpoint list only if it subscribes

	// Bounds on stale endpoint lists. A router without a watch that has not polled for MaxPollInterval counts as
	// notified of all changes. Once DrainGrace has passed after it was notified that a server drains or is gone,
	// nothing more may be sent to that server.
	MaxPollInterval, DrainGrace time.Duration

	MayHealthCheck bool // HealthCheck actions are allowed
	MayGossip      bool // Gossip actions are allowed
	MayCancel      bool // Cancel actions are allowed

	// Costs in points of the service. ConnectionCost is for 100 idle connections at each server, HandshakeCost for a
	// new connection for each request, and CrossZoneCost for each request that crosses zones once. Zero means no cost.
	ConnectionCost, HandshakeCost, CrossZoneCost float64

	// AffinityBudget is the fraction of reads, up to 1, that may go to a server of this router's zone instead of the
	// owner of their key. It applies if crossing zones has a cost. locality.DefaultAffinityBudget is the usual value.
	AffinityBudget float64

	// MaxEjectedFraction is the fraction of the cache servers' capacity that may be out at once. Beyond it, outliers
	// keep their keys. Servers that drain, are unresponsive or in slow start count, as do the slots that outliers
	// give up. 0 means no bound.
	MaxEjectedFraction float64

	MaxAttempts   int           // maximum number of attempts of a request
	MaxRetryAfter time.Duration // longest Retry-After that clients follow; 0 if none may be given
	Tick          time.Duration // shortest time between two calls of Handle with different times

	SlowStartFloor    float64       // minimum fraction of its capacity that a server has at its start
	SlowStartDuration time.Duration // time after its start by which a server has all of its capacity
	OverloadFactor    float64       // multiple of its current capacity that overloads a server in slow start
}

// SettingsError reports an invalid field of Settings.
type SettingsError struct {
	Field  string // Go name without "Settings."; for an element of a slice, the path to its field
	Reason string // what the value has to be
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
