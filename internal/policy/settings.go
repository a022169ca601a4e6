package policy

import (
	"errors"
	"fmt"
)

// validate tells which field makes no sense.
func (set *Settings) validate() error {
	switch {
	case set.Nodes < 1:
		return errors.New("policy: Settings.Routers must be at least 1")
	case set.MaxAttempts < 1:
		return errors.New("policy: Settings.MaxAttempts must be at least 1")
	case !(set.SlowStartFloor >= 0 && set.SlowStartFloor <= 1):
		return errors.New("policy: Settings.ColdFrom must be from 0 to 1")
	case set.SlowStartDuration < 0:
		return errors.New("policy: Settings.WarmAfter is negative")
	case !(set.OverloadFactor > 0):
		return errors.New("policy: Settings.FallFactor must be above 0")
	case !(set.OverQuotaFraction >= 0):
		return errors.New("policy: Settings.OverShare is negative")
	case set.MaxPollInterval < 0 || set.DrainGrace < 0:
		return errors.New("policy: Settings.MustAskIn or DrainGrace is negative")
	case set.Tick < 0 || set.MaxRetryAfter < 0:
		return errors.New("policy: Settings.Tick or MaxRetryAfter is negative")
	case !(set.ConnectionCost >= 0) || !(set.HandshakeCost >= 0) || !(set.CrossZoneCost >= 0):
		return errors.New("policy: Settings.ConnectionPrice, HandshakePrice or CrossPrice is negative")
	case !(set.AffinityBudget >= 0 && set.AffinityBudget <= 1):
		return errors.New("policy: Settings.LeaveOwner must be from 0 to 1")
	case !(set.MaxEjectedFraction >= 0 && set.MaxEjectedFraction <= 1):
		return errors.New("policy: Settings.ServersOut must be from 0 to 1")
	case len(set.Classes) == 0:
		return errors.New("policy: Settings.Classes is empty")
	}
	for _, c := range set.Classes {
		if !(c.PriorityWeight >= 0) || c.LatencyObjective <= 0 || c.DedupWindow < 0 {
			return fmt.Errorf("policy: Settings.Classes: %q: Worth, Aim or Window makes no sense", c.Name)
		}
	}
	for _, t := range set.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("policy: Settings.Tenants: %q: Quota is negative", t.Name)
		}
	}
	return nil
}
