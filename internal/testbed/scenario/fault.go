package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/tomlfile"
)

// Fault is an entry of the fault schedule. Its fields correspond to those of model.Fault and model.Selector.
type Fault struct {
	Kind         string            `toml:"kind"`
	At           Span              `toml:"at"`
	For          Span              `toml:"for"`
	CacheServers []string          `toml:"boxes"`
	OfKind       string            `toml:"of"` // kind of the affected cache servers
	Zone         string            `toml:"zone"`
	Count        Range             `toml:"count"`
	Share        Range             `toml:"share"`
	Nodes        []int             `toml:"nodes"`
	Factor       Range             `toml:"factor"`
	Answers      Range             `toml:"answers"`  // fraction of the responses that are corrupted
	Messages     Range             `toml:"messages"` // fraction of the messages that are lost
	Batch        Range             `toml:"batch"`
	DrainFor     tomlfile.Duration `toml:"drain_for"`
	SameAddr     Range             `toml:"same_address"`
	Period       tomlfile.Duration `toml:"period"`
	Lag          Span              `toml:"lag"`
}

// requiredFields lists the fields that are required in a fault of each kind. Without these fields, such a fault has no effect.
var requiredFields = map[model.FaultKind][]string{
	model.Deploy:          {"for", "batch"},
	model.Shrink:          {"for"},
	model.Slow:            {"factor"},
	model.CorruptResponse: {"answers"},
	model.PacketLoss:      {"messages"},
	model.DiscoveryLag:    {"lag"},
	model.OriginSlow:      {"factor"},
	model.Flap:            {"period"},
}

// minPeriod is the minimum of the field period of a fault or an arrival process.
const minPeriod = tomlfile.Duration(10 * time.Millisecond)

// validateFault checks a fault. index is its position in the fault schedule, for error texts.
func (s *Scenario) validateFault(index int, fault Fault) error {
	table := fmt.Sprintf("fault[%d].", index)
	kind := slices.Index(model.FaultKinds[:], fault.Kind)
	if kind < 0 {
		return s.file.Errorf(table+"kind", "%q is none of %s", fault.Kind, strings.Join(model.FaultKinds[:], ", "))
	}
	for _, field := range requiredFields[model.FaultKind(kind)] {
		if !s.file.Has(table + field) {
			return s.file.Errorf(table+field, "a fault of the kind %s needs it", fault.Kind)
		}
	}
	if err := s.validateFaultValues(table, fault); err != nil {
		return err
	}
	for _, node := range fault.Nodes {
		if node < 0 || float64(node) >= s.Nodes.Count.Least {
			return s.file.Errorf(table+"nodes", "there may be no node %d", node)
		}
	}
	return nil
}

// validateFaultValues checks the values in the fields of a fault. table is the prefix of the field names in errors.
func (s *Scenario) validateFaultValues(table string, fault Fault) error {
	hasKind := slices.ContainsFunc(s.Kinds, func(kind CacheServerKind) bool { return kind.Name == fault.OfKind })
	hasZone := slices.Contains(s.Zones.Names, fault.Zone)
	areFractions := fault.Share.in(0, 1) && fault.Answers.in(0, 1) && fault.Messages.in(0, 1) && fault.SameAddr.in(0, 1)
	isBatchValid := fault.Batch.Least > 0 && fault.Batch.Most <= 1
	return s.firstError(table,
		require(fault.At.Least >= 0, "at", "must not be negative"),
		require(fault.For.Least >= 0, "for", "must not be negative"),
		require(fault.OfKind == "" || hasKind, "of", "there is no kind of cache server %q", fault.OfKind),
		require(fault.Zone == "" || hasZone, "zone", "there is no zone %q", fault.Zone),
		require(areFractions, "kind", "share, answers, messages and same_address must be from 0 to 1"),
		require(!s.file.Has(table+"factor") || fault.Factor.Least > 0, "factor", "must be above 0"),
		require(!s.file.Has(table+"batch") || isBatchValid, "batch", "must be above 0 and at most 1"),
		require(!s.file.Has(table+"period") || fault.Period >= minPeriod, "period", "must be at least 10ms"),
	)
}

// draw returns the fault with one value drawn from each of its ranges.
func (f Fault) draw(random *rand.Rand) model.Fault {
	fault := model.Fault{
		Kind: model.FaultKind(slices.Index(model.FaultKinds[:], f.Kind)),
		At:   f.At.Draw(random),
		For:  f.For.Draw(random),
		Select: model.Selector{IDs: f.CacheServers, Kind: f.OfKind, Zone: f.Zone, Count: f.Count.Int(random),
			Share: f.Share.Draw(random)},
		Nodes:    f.Nodes,
		Factor:   f.Factor.Draw(random),
		Batch:    f.Batch.Draw(random),
		DrainFor: f.DrainFor.D(),
		SameSlot: f.SameAddr.Draw(random),
		Period:   f.Period.D(),
		Lag:      f.Lag.Draw(random),
	}
	fault.Share = max(f.Answers.Draw(random), f.Messages.Draw(random))
	return fault
}
