package policy

import (
	"errors"
	"fmt"
)

// validate tells which field makes no sense.
func (set *Settings) validate() error {
	switch {
	case set.Routers < 1:
		return errors.New("policy: Settings.Routers must be at least 1")
	case set.MaxAttempts < 1:
		return errors.New("policy: Settings.MaxAttempts must be at least 1")
	case !(set.ColdFrom >= 0 && set.ColdFrom <= 1):
		return errors.New("policy: Settings.ColdFrom must be from 0 to 1")
	case set.WarmAfter < 0:
		return errors.New("policy: Settings.WarmAfter is negative")
	case !(set.FallFactor > 0):
		return errors.New("policy: Settings.FallFactor must be above 0")
	case !(set.OverShare >= 0):
		return errors.New("policy: Settings.OverShare is negative")
	case set.MustAskIn < 0 || set.DrainGrace < 0:
		return errors.New("policy: Settings.MustAskIn or DrainGrace is negative")
	case set.Tick < 0 || set.MaxRetryAfter < 0:
		return errors.New("policy: Settings.Tick or MaxRetryAfter is negative")
	case !(set.ConnectionPrice >= 0) || !(set.HandshakePrice >= 0) || !(set.CrossPrice >= 0):
		return errors.New("policy: Settings.ConnectionPrice, HandshakePrice or CrossPrice is negative")
	case !(set.LeaveOwner >= 0 && set.LeaveOwner <= 1):
		return errors.New("policy: Settings.LeaveOwner must be from 0 to 1")
	case !(set.ServersOut >= 0 && set.ServersOut <= 1):
		return errors.New("policy: Settings.ServersOut must be from 0 to 1")
	case len(set.Classes) == 0:
		return errors.New("policy: Settings.Classes is empty")
	}
	for _, c := range set.Classes {
		if !(c.Worth >= 0) || c.Aim <= 0 || c.Window < 0 {
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
