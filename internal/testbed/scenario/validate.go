package scenario

import (
	"fmt"
	"slices"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/workload"
	"shelfproxy/internal/tomlfile"
)

// Limits on the size of a scenario, so that one machine can run it.
const (
	minLength       = tomlfile.Duration(100 * time.Millisecond)
	maxLength       = tomlfile.Duration(24 * time.Hour)
	maxCacheServers = 4000
	maxNodes        = 200
	maxRate         = 100000 // requests per second
	maxKeys         = 1e8
	maxParallel     = 1e6 // maximum number of requests that the origin executes at the same time
	maxSlotsPerCore = 1e5
	maxValueBytes   = 60 << 10 // a value may have 64 KB, but it also contains the request id and the key
)

// requirement is a condition on a field of a scenario, and the text of the error if the condition is not met.
type requirement struct {
	isMet       bool
	field, text string
}

func require(isMet bool, field, format string, args ...any) requirement {
	return requirement{isMet, field, fmt.Sprintf(format, args...)}
}

// firstError returns an error for the first requirement that is not met. table is the prefix of the field name in the error; it
// is empty or ends with a dot.
func (s *Scenario) firstError(table string, requirements ...requirement) error {
	for _, requirement := range requirements {
		if !requirement.isMet {
			return s.file.Errorf(table+requirement.field, "%s", requirement.text)
		}
	}
	return nil
}

// validate checks that the scenario can be run. An error names the file, the line and the field.
func (s *Scenario) validate() error {
	if err := s.validateTables(); err != nil {
		return err
	}
	for i, kind := range s.Kinds {
		if err := s.validateKind(i, kind); err != nil {
			return err
		}
	}
	for i, class := range s.Classes {
		if err := s.validateClass(i, class); err != nil {
			return err
		}
	}
	for i, process := range s.Workload.Processes {
		if err := s.validateProcess(i, process); err != nil {
			return err
		}
	}
	for i, popular := range s.Workload.PopularKeys {
		if err := s.validatePopularKeys(i, popular); err != nil {
			return err
		}
	}
	for i, fault := range s.Fault {
		if err := s.validateFault(i, fault); err != nil {
			return err
		}
	}
	return nil
}

// validateTables checks the tables that occur only once in a scenario.
func (s *Scenario) validateTables() error {
	zones := len(s.Zones.Names)
	hasWeights := func(weights []float64) bool { return len(weights) == 0 || len(weights) == zones }
	hasOriginZone := s.Origin.Zone == "" || slices.Contains(s.Zones.Names, s.Origin.Zone)
	isValueSizeValid := s.Origin.ValueBytes >= 1 && s.Origin.ValueBytes <= maxValueBytes
	return s.firstError("",
		require(s.Length >= minLength && s.Length <= maxLength, "length", "%s is not from 100ms to 24h", s.Length),
		require(s.Nodes.Count.in(1, maxNodes), "nodes.count", "must be from 1 to %d", maxNodes),
		require(s.Nodes.CPUShare >= 0 && s.Nodes.CPUShare <= 1, "nodes.cpu_share", "must be from 0 to 1"),
		require(s.Discovery.Batch >= 0, "roster.batch", "must not be negative"),
		require(zones > 0, "zones.names", "there must be one at least"),
		require(hasWeights(s.Zones.Traffic), "zones.traffic", "has %d shares for %d zones", len(s.Zones.Traffic), zones),
		require(hasWeights(s.Zones.CacheServers), "zones.boxes", "has %d shares for %d zones", len(s.Zones.CacheServers), zones),
		require(s.CacheServers.Count.in(1, maxCacheServers), "boxes.count", "must be from 1 to %d", maxCacheServers),
		require(s.CacheServers.CellSize.in(1, maxCacheServers), "boxes.cell_size", "must be from 1 to %d", maxCacheServers),
		require(hasOriginZone, "origin.zone", "there is no zone %q", s.Origin.Zone),
		require(s.Origin.Parallel.in(1, maxParallel), "origin.parallel", "must be at least 1"),
		require(s.Origin.Median.in(time.Microsecond, time.Minute), "origin.median", "must be from 1us to 1m"),
		require(isValueSizeValid, "origin.value_bytes", "must be from 1 to %d", maxValueBytes),
		require(s.Keys.Count.in(1, maxKeys), "keys.count", "must be from 1 to 100000000"),
		require(s.Keys.Skew.Least > 1, "keys.skew", "must be above 1"),
		require(s.Workload.Rate.in(0, maxRate), "load.rate", "must be from 0 to %d", maxRate),
		require(s.Keys.Offset.Least >= 1, "keys.offset", "must be 1 or more"),
		require(s.Link.Loss.in(0, 1), "link.loss", "must be from 0 to 1"),
	)
}

func (s *Scenario) validateKind(index int, kind CacheServerKind) error {
	_, isCancelKnown := cancelModes[kind.Cancel]
	isEvictionKnown := kind.Eviction == evictLRU || kind.Eviction == evictFIFO
	return s.firstError(fmt.Sprintf("kind[%d].", index),
		require(kind.Name != "" && kind.Name != model.OriginID, "name", "must be given, and not %q", model.OriginID),
		require(kind.Share >= 0, "share", "must not be negative"),
		require(kind.Cores >= 1, "cores", "must be at least 1"),
		require(kind.Speed.Least > 0, "speed", "must be above 0"),
		require(kind.SlotsPerCore.in(1, maxSlotsPerCore), "slots_per_core", "must be at least 1"),
		require(kind.SlowStartFloor.in(0, 1), "cold_from", "must be from 0 to 1"),
		require(isEvictionKnown, "eviction", "%q is neither lru nor fifo", kind.Eviction),
		require(isCancelKnown, "cancel", "%q is none of none, queued, all", kind.Cancel),
		require(kind.ErrorRate.in(0, 1), "error_rate", "must be from 0 to 1"),
	)
}

func (s *Scenario) validateClass(index int, class Class) error {
	isEffectKnown := slices.Contains([]string{effectIdempotent, effectDeduplicated, effectAtMostOnce}, class.Effect)
	areTimesOrdered := class.LatencyObjective > 0 && class.Deadline >= class.LatencyObjective
	return s.firstError(fmt.Sprintf("class[%d].", index),
		require(class.Name != "", "name", "missing"),
		require(isEffectKnown, "effect", "%q is none of idempotent, deduplicated, at_most_once", class.Effect),
		require(areTimesOrdered, "deadline", "must not be before aim, and aim above 0"),
		require(class.Share >= 0, "share", "must not be negative"),
		require(class.Bytes.in(0, maxValueBytes), "bytes", "must be from 0 to %d", maxValueBytes),
	)
}

func (s *Scenario) validateProcess(index int, process ArrivalProcess) error {
	kind, err := workload.ParseProcess(process.Kind)
	isPeriodic := kind == workload.Sine || kind == workload.Burst
	hasClass := slices.ContainsFunc(s.Classes, func(class Class) bool { return class.Name == process.Class })
	return s.firstError(fmt.Sprintf("load.shape[%d].", index),
		require(err == nil, "kind", "%v", err),
		require(process.Rate.in(0, maxRate), "rate", "must be from 0 to %d", maxRate),
		require(!isPeriodic || process.Period >= minPeriod, "period", "a shape of the kind %s needs one of 10ms or more", process.Kind),
		require(process.Class == "" || hasClass, "class", "there is no class %q", process.Class),
	)
}

func (s *Scenario) validatePopularKeys(index int, popular PopularKeys) error {
	return s.firstError(fmt.Sprintf("load.heat[%d].", index),
		require(popular.Share.in(0, 1), "share", "must be from 0 to 1"),
		require(popular.Keys >= 1, "keys", "must be at least 1"),
	)
}
