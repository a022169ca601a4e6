// Package scenario reads the files that say what the lab plays: the portal, the nodes, the load and what goes wrong.
// A file states only what differs from a calm portal of middling size. Figures may be ranges, of which a seed draws
// one; Draw makes of a scenario and a seed the plan that the emulator plays. Nothing here has a clock or I/O beyond
// reading the file.
package scenario

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/workload"
	"shelfproxy/internal/tomlfile"
)

// Scenario is a file as it was read, with the defaults.
type Scenario struct {
	Name         string            `toml:"name"`
	About        string            `toml:"about"`
	Length       tomlfile.Duration `toml:"length"` // of the load
	Nodes        Nodes             `toml:"nodes"`
	Zones        Zones             `toml:"zones"`
	CacheServers CacheServers      `toml:"boxes"`
	Kinds        []CacheServerKind `toml:"kind"`
	Origin       Origin            `toml:"origin"`
	Discovery    Discovery         `toml:"roster"`
	Link         Link              `toml:"link"`
	Invariants   Invariants        `toml:"rules"`
	Classes      []Class           `toml:"class"`
	Keys         Keys              `toml:"keys"`
	Workload     Load              `toml:"load"`
	Fault        []Fault           `toml:"fault"`

	file *tomlfile.File
}

// Nodes are the nodes that the scenario is for, and what their configurations tell them.
type Nodes struct {
	Count          Range             `toml:"count"`
	Cores          float64           `toml:"cores"`
	MemoryMB       int               `toml:"memory_mb"`
	Sockets        int               `toml:"sockets"`
	MaxOpen        int               `toml:"max_open"`
	MaxAttempts    int               `toml:"max_attempts"`
	MaxStreams     int               `toml:"streams_per_connection"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	ConnectionIdle tomlfile.Duration `toml:"connection_idle"`
	RetryAfter     tomlfile.Duration `toml:"max_retry_after"` // 0: clients follow no advice
	HealthChecks   bool              `toml:"probes"`
	Cancel         bool              `toml:"cancel"`
}

// Zones are the machine rooms.
type Zones struct {
	Names   []string  `toml:"names"`
	Traffic []float64 `toml:"traffic"` // shares of the load; none is the same for all
	Boxes   []float64 `toml:"boxes"`   // shares of the boxes; none is the same for all
}

// CacheServers are how many there are.
type CacheServers struct {
	Count    Range `toml:"count"`
	CellSize Range `toml:"cell_size"`
}

// CacheServerKind is a kind of cache box.
type CacheServerKind struct {
	Name              string  `toml:"name"`
	Share             float64 `toml:"share"`
	Cores             int     `toml:"cores"`
	Speed             Range   `toml:"speed"`
	SlotsPerCore      Range   `toml:"slots_per_core"`
	QueuePerCore      Range   `toml:"queue_per_core"`
	SlowStartFloor    Range   `toml:"cold_from"`
	SlowStartDuration Span    `toml:"warm_after"`
	MemoryMB          Range   `toml:"memory_mb"`
	Eviction          string  `toml:"eviction"` // lru or fifo
	Connections       Range   `toml:"connections"`
	ConnectionWork    Span    `toml:"connection_work"`
	HealthCheckWork   Span    `toml:"probe_work"`
	MissWork          Range   `toml:"miss_work"`
	ChokeAt           Range   `toml:"choke_at"`
	Choke             Range   `toml:"choke"`
	Cancel            string  `toml:"cancel"` // none, queued or all
	DropExpired       bool    `toml:"drop_expired"`
	ErrorRate         Range   `toml:"error_rate"`
}

// Origin is the central records database.
type Origin struct {
	Zone             string `toml:"zone"` // the first without one
	Median           Span   `toml:"median"`
	Sigma            Range  `toml:"sigma"`
	Parallel         Range  `toml:"parallel"`
	Queue            Range  `toml:"queue"`
	OverloadMultiple Range  `toml:"fall_multiple"`
	OverloadWindow   Span   `toml:"fall_after"`
	OverloadStall    Span   `toml:"fall_for"`
	ValueBytes       int    `toml:"value_bytes"`
	Cancel           bool   `toml:"cancel"`
}

// Discovery is discovery.
type Discovery struct {
	Lag       Span              `toml:"lag"`
	Call      tomlfile.Duration `toml:"call"`
	PerEntry  tomlfile.Duration `toml:"line"`
	Timeout   tomlfile.Duration `toml:"timeout"`
	Heartbeat tomlfile.Duration `toml:"beat"`
}

// Link is the network between nodes and servers.
type Link struct {
	Same       Span              `toml:"same"`
	Cross      Span              `toml:"cross"`
	Loss       Range             `toml:"loss"`
	Retransmit tomlfile.Duration `toml:"retransmit"`
}

// Invariants are the figures of the rules that the emulator checks.
type Invariants struct {
	DrainWithin    tomlfile.Duration `toml:"drain_within"` // from when a node was told
	NotifyWithin   tomlfile.Duration `toml:"told_within"`  // whatever discovery has to tell counts as told by then
	Grace          tomlfile.Duration `toml:"grace"`        // past a deadline, and past the other limits
	OverloadFactor float64           `toml:"fall_factor"`
	OverloadWindow tomlfile.Duration `toml:"fall_after"`
}

// Class is a class of requests.
type Class struct {
	Name             string            `toml:"name"`
	Share            float64           `toml:"share"` // of the load
	Work             Span              `toml:"work"`
	LatencyObjective tomlfile.Duration `toml:"aim"`
	Deadline         tomlfile.Duration `toml:"deadline"`
	PriorityWeight   float64           `toml:"worth"`
	LateFraction     float64           `toml:"late_worth"`
	Write            bool              `toml:"write"`
	Effect           string            `toml:"effect"` // idempotent, deduplicated or at_most_once
	DedupWindow      tomlfile.Duration `toml:"window"`
	Bytes            Range             `toml:"bytes"` // of the value of a write
}

// Keys are what the load asks for.
type Keys struct {
	Count Range `toml:"count"`
	Skew  Range `toml:"skew"` // the exponent of a Zipf law; above 1
	// Offset flattens the head of that law; 1 or more. Drift, if above 0, is how often all ranks move on by one.
	Offset Range             `toml:"offset"`
	Drift  tomlfile.Duration `toml:"drift"`
}

// Load is what clients ask for: a steady rate, and shapes and heats on top of it.
type Load struct {
	Rate        Range            `toml:"rate"`    // requests a second, all the time
	Uniform     bool             `toml:"uniform"` // even gaps in place of Poisson arrivals
	Processes   []ArrivalProcess `toml:"shape"`
	PopularKeys []PopularKeys    `toml:"heat"`
}

// ArrivalProcess is a part of the rate over time.
type ArrivalProcess struct {
	Kind   string            `toml:"kind"` // steady, ramp, surge, sine or burst
	Rate   Range             `toml:"rate"` // at its most
	At     Span              `toml:"at"`
	For    Span              `toml:"for"`
	Period tomlfile.Duration `toml:"period"`
	Class  string            `toml:"class"` // of this class only, as in a rush of sign-offs
}

// PopularKeys is a part of the requests that goes to a few keys.
type PopularKeys struct {
	Share Range             `toml:"share"`
	Keys  int               `toml:"keys"`
	At    Span              `toml:"at"`
	For   Span              `toml:"for"`
	Move  tomlfile.Duration `toml:"move"` // other keys each time this has passed
}

// Fault is one entry of the script of what goes wrong.
type Fault struct {
	Kind         string            `toml:"kind"`
	At           Span              `toml:"at"`
	For          Span              `toml:"for"`
	CacheServers []string          `toml:"boxes"`
	Of           string            `toml:"of"` // kind of box
	Zone         string            `toml:"zone"`
	Count        Range             `toml:"count"`
	Share        Range             `toml:"share"`
	Nodes        []int             `toml:"nodes"`
	Factor       Range             `toml:"factor"`
	Answers      Range             `toml:"answers"`
	Messages     Range             `toml:"messages"`
	Batch        Range             `toml:"batch"`
	DrainFor     tomlfile.Duration `toml:"drain_for"`
	SameAddr     Range             `toml:"same_address"`
	Period       tomlfile.Duration `toml:"period"`
	Lag          Span              `toml:"lag"`
}

// Default is a calm portal of middling size.
func Default() *Scenario {
	kind := func(name string, share float64, speed Range) CacheServerKind {
		return CacheServerKind{Name: name, Share: share, Cores: 5, Speed: speed, SlotsPerCore: Range{8, 24}, QueuePerCore: Range{12, 36},
			SlowStartFloor: Range{0.13, 0.3}, SlowStartDuration: Span{11 * time.Second, 23 * time.Second}, MemoryMB: Range{32, 32}, Eviction: "lru",
			Connections: Range{3000, 4500}, ConnectionWork: ms(3, 6), HealthCheckWork: ms(1.5, 3), MissWork: Range{0.05, 0.05},
			ChokeAt: Range{3, 5}, Choke: Range{0.04, 0.14}, Cancel: "queued", ErrorRate: Range{0, 0.002}}
	}
	d := func(t time.Duration) tomlfile.Duration { return tomlfile.Duration(t) }
	return &Scenario{
		Name: "default", Length: d(20 * time.Second),
		Nodes: Nodes{Count: Range{2, 2}, Cores: 1, MemoryMB: 192, Sockets: 1024, MaxOpen: 20000, MaxAttempts: 6, MaxStreams: 32,
			ConnectTimeout: d(250 * time.Millisecond), ConnectionIdle: d(30 * time.Second), HealthChecks: true, Cancel: true},
		Zones:        Zones{Names: []string{"room-a", "room-b", "room-c", "room-d"}},
		CacheServers: CacheServers{Count: Range{12, 13}, CellSize: Range{4, 8}},
		Kinds:        []CacheServerKind{kind("fast", 0.24, Range{1.4, 1.8}), kind("standard", 0.29, Range{0.85, 1.1}), kind("slow", 0.47, Range{0.51, 0.69})},
		Origin: Origin{Median: ms(60, 120), Sigma: Range{0.3, 0.5}, Parallel: Range{12, 16}, Queue: Range{60, 120}, OverloadMultiple: Range{3, 4},
			OverloadWindow: flat(2 * time.Second), OverloadStall: Span{3 * time.Second, 5 * time.Second}, ValueBytes: 1800},
		Discovery: Discovery{Lag: Span{500 * time.Millisecond, 2 * time.Second}, Call: d(2 * time.Millisecond), PerEntry: d(200 * time.Microsecond),
			Timeout: d(2 * time.Second), Heartbeat: d(2 * time.Second)},
		Link: Link{Same: ms(0.09, 0.33), Cross: ms(0.7, 1.3), Retransmit: d(200 * time.Millisecond)},
		Invariants: Invariants{DrainWithin: d(2500 * time.Millisecond), NotifyWithin: d(6 * time.Second), Grace: d(100 * time.Millisecond), OverloadFactor: 3,
			OverloadWindow: d(1500 * time.Millisecond)},
		Classes: []Class{
			{Name: "view-logbook", Share: 0.964, Work: ms(95, 170), LatencyObjective: d(1500 * time.Millisecond), Deadline: d(6 * time.Second), PriorityWeight: 1,
				LateFraction: 0.5, Effect: "idempotent"},
			{Name: "sign-off", Share: 0.02, Work: ms(140, 260), LatencyObjective: d(2500 * time.Millisecond), Deadline: d(6 * time.Second), PriorityWeight: 10,
				LateFraction: 0.35, Write: true, Effect: "deduplicated", DedupWindow: d(4 * time.Second), Bytes: Range{200, 2000}},
			{Name: "issue-cert", Share: 0.016, Work: ms(130, 240), LatencyObjective: d(time.Second), Deadline: d(2 * time.Second), PriorityWeight: 3,
				LateFraction: 0.25, Write: true, Effect: "at_most_once", Bytes: Range{200, 2000}},
		},
		Keys:     Keys{Count: Range{2000, 2000}, Skew: Range{1.1, 1.1}, Offset: Range{1, 1}},
		Workload: Load{Rate: Range{60, 60}},
	}
}

// Read reads a scenario from a file. An error names the file, the line and the field.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a scenario from a text; path is for its name and for messages.
func Parse(path string, text []byte) (*Scenario, error) {
	s := Default()
	s.Name = strings.TrimSuffix(path[strings.LastIndexByte(path, '/')+1:], ".toml")
	// Lists of the defaults are replaced, not added to.
	kinds, classes := s.Kinds, s.Classes
	s.Kinds, s.Classes = nil, nil
	file, err := tomlfile.Parse(path, text, s)
	if err != nil {
		return nil, err
	}
	s.file = file
	if s.Kinds == nil {
		s.Kinds = kinds
	} else {
		s.inherit(kinds[1])
	}
	if s.Classes == nil {
		s.Classes = classes
	}
	return s, s.validate()
}

// inherit gives the kinds of a file what they leave out: what a standard box has.
func (s *Scenario) inherit(standard CacheServerKind) {
	from := reflect.ValueOf(standard)
	for i := range s.Kinds {
		to := reflect.ValueOf(&s.Kinds[i]).Elem()
		for n := range to.NumField() {
			tag := to.Type().Field(n).Tag.Get("toml")
			if tag != "name" && !s.file.Has(fmt.Sprintf("kind[%d].%s", i, tag)) {
				to.Field(n).Set(from.Field(n))
			}
		}
	}
}

var cancels = map[string]model.CancelMode{"none": model.CancelNone, "queued": model.CancelQueued, "all": model.CancelAll}

// most bounds what a scenario may ask of one machine.
const (
	mostBoxes = 2000
	mostNodes = 200
	mostRate  = 100000
)

func (s *Scenario) validate() error {
	bad := s.file.Errorf
	n := len(s.Zones.Names)
	switch {
	case s.Length < tomlfile.Duration(100*time.Millisecond) || s.Length > tomlfile.Duration(24*time.Hour):
		return bad("length", "%s is not from 100ms to 24h", s.Length)
	case !s.Nodes.Count.in(1, mostNodes):
		return bad("nodes.count", "must be from 1 to %d", mostNodes)
	case n == 0:
		return bad("zones.names", "there must be one at least")
	case len(s.Zones.Traffic) != 0 && len(s.Zones.Traffic) != n:
		return bad("zones.traffic", "has %d shares for %d zones", len(s.Zones.Traffic), n)
	case len(s.Zones.Boxes) != 0 && len(s.Zones.Boxes) != n:
		return bad("zones.boxes", "has %d shares for %d zones", len(s.Zones.Boxes), n)
	case !s.CacheServers.Count.in(1, mostBoxes):
		return bad("boxes.count", "must be from 1 to %d", mostBoxes)
	case !s.CacheServers.CellSize.in(1, mostBoxes):
		return bad("boxes.cell_size", "must be from 1 to %d", mostBoxes)
	case s.Origin.Zone != "" && !slices.Contains(s.Zones.Names, s.Origin.Zone):
		return bad("origin.zone", "there is no zone %q", s.Origin.Zone)
	case !s.Origin.Parallel.in(1, 1e6):
		return bad("origin.parallel", "must be at least 1")
	case !s.Origin.Median.in(time.Microsecond, time.Minute):
		return bad("origin.median", "must be from 1us to 1m")
	case s.Origin.ValueBytes < 1 || s.Origin.ValueBytes > 60<<10:
		return bad("origin.value_bytes", "must be from 1 to %d", 60<<10)
	case !s.Keys.Count.in(1, 1e8):
		return bad("keys.count", "must be from 1 to 100000000")
	case !(s.Keys.Skew.Least > 1):
		return bad("keys.skew", "must be above 1")
	case !s.Workload.Rate.in(0, mostRate):
		return bad("load.rate", "must be from 0 to %d", mostRate)
	case !(s.Keys.Offset.Least >= 1):
		return bad("keys.offset", "must be 1 or more")
	case !s.Link.Loss.in(0, 1):
		return bad("link.loss", "must be from 0 to 1")
	}
	for i, k := range s.Kinds {
		at := func(f string) string { return fmt.Sprintf("kind[%d].%s", i, f) }
		_, cancel := cancels[k.Cancel]
		switch {
		case k.Name == "" || k.Name == model.OriginID:
			return bad(at("name"), "must be given, and not %q", model.OriginID)
		case !(k.Share >= 0):
			return bad(at("share"), "must not be negative")
		case k.Cores < 1:
			return bad(at("cores"), "must be at least 1")
		case !(k.Speed.Least > 0):
			return bad(at("speed"), "must be above 0")
		case !k.SlotsPerCore.in(1, 1e5):
			return bad(at("slots_per_core"), "must be at least 1")
		case !k.SlowStartFloor.in(0, 1):
			return bad(at("cold_from"), "must be from 0 to 1")
		case k.Eviction != "lru" && k.Eviction != "fifo":
			return bad(at("eviction"), "%q is neither lru nor fifo", k.Eviction)
		case !cancel:
			return bad(at("cancel"), "%q is none of none, queued, all", k.Cancel)
		case !k.ErrorRate.in(0, 1):
			return bad(at("error_rate"), "must be from 0 to 1")
		}
	}
	for i, c := range s.Classes {
		at := func(f string) string { return fmt.Sprintf("class[%d].%s", i, f) }
		switch {
		case c.Name == "":
			return bad(at("name"), "missing")
		case !slices.Contains([]string{"idempotent", "deduplicated", "at_most_once"}, c.Effect):
			return bad(at("effect"), "%q is none of idempotent, deduplicated, at_most_once", c.Effect)
		case c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective:
			return bad(at("deadline"), "must not be before aim, and aim above 0")
		case !(c.Share >= 0):
			return bad(at("share"), "must not be negative")
		case !c.Bytes.in(0, 60<<10):
			return bad(at("bytes"), "must be from 0 to %d", 60<<10)
		}
	}
	for i, sh := range s.Workload.Processes {
		at := func(f string) string { return fmt.Sprintf("load.shape[%d].%s", i, f) }
		kind, err := workload.ParseProcess(sh.Kind)
		switch {
		case err != nil:
			return bad(at("kind"), "%v", err)
		case !sh.Rate.in(0, mostRate):
			return bad(at("rate"), "must be from 0 to %d", mostRate)
		case (kind == workload.Sine || kind == workload.Burst) && sh.Period < tomlfile.Duration(10*time.Millisecond):
			return bad(at("period"), "a shape of the kind %s needs one of 10ms or more", sh.Kind)
		case sh.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == sh.Class }):
			return bad(at("class"), "there is no class %q", sh.Class)
		}
	}
	for i, h := range s.Workload.PopularKeys {
		at := func(f string) string { return fmt.Sprintf("load.heat[%d].%s", i, f) }
		switch {
		case !h.Share.in(0, 1):
			return bad(at("share"), "must be from 0 to 1")
		case h.Keys < 1:
			return bad(at("keys"), "must be at least 1")
		}
	}
	for i, f := range s.Fault {
		if err := s.checkFault(i, f); err != nil {
			return err
		}
	}
	return nil
}

// needs are the fields without which a kind of fault means nothing.
var needs = map[model.FaultKind][]string{model.Deploy: {"for", "batch"}, model.Shrink: {"for"}, model.Slow: {"factor"},
	model.CorruptResponse: {"answers"}, model.PacketLoss: {"messages"}, model.DiscoveryLag: {"lag"}, model.OriginSlow: {"factor"}, model.Flap: {"period"}}

func (s *Scenario) checkFault(i int, f Fault) error {
	at := func(name string) string { return fmt.Sprintf("fault[%d].%s", i, name) }
	bad := s.file.Errorf
	kind := slices.Index(model.FaultKinds[:], f.Kind)
	if kind < 0 {
		return bad(at("kind"), "%q is none of %s", f.Kind, strings.Join(model.FaultKinds[:], ", "))
	}
	for _, need := range needs[model.FaultKind(kind)] {
		if !s.file.Has(at(need)) {
			return bad(at(need), "a fault of the kind %s needs it", f.Kind)
		}
	}
	switch {
	case f.At.Least < 0:
		return bad(at("at"), "must not be negative")
	case f.For.Least < 0:
		return bad(at("for"), "must not be negative")
	case f.Of != "" && !slices.ContainsFunc(s.Kinds, func(k CacheServerKind) bool { return k.Name == f.Of }):
		return bad(at("of"), "there is no kind of box %q", f.Of)
	case f.Zone != "" && !slices.Contains(s.Zones.Names, f.Zone):
		return bad(at("zone"), "there is no zone %q", f.Zone)
	case !f.Share.in(0, 1) || !f.Answers.in(0, 1) || !f.Messages.in(0, 1) || !f.SameAddr.in(0, 1):
		return bad(at("kind"), "share, answers, messages and same_address must be from 0 to 1")
	case s.file.Has(at("factor")) && !(f.Factor.Least > 0):
		return bad(at("factor"), "must be above 0")
	case s.file.Has(at("batch")) && !(f.Batch.Least > 0 && f.Batch.Most <= 1):
		return bad(at("batch"), "must be above 0 and at most 1")
	case s.file.Has(at("period")) && f.Period < tomlfile.Duration(10*time.Millisecond):
		return bad(at("period"), "must be at least 10ms")
	}
	for _, n := range f.Nodes {
		if n < 0 || float64(n) >= s.Nodes.Count.Least {
			return bad(at("nodes"), "there may be no node %d", n)
		}
	}
	return nil
}
