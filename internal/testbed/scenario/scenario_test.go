package scenario

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/testbed/model"
)

func read(t *testing.T, text string) (*Scenario, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(path)
}

func TestErrorsNameTheField(t *testing.T) {
	for text, want := range map[string]string{
		"[load]\nrate = 'much'":                                         "s.toml:2: load.rate: ",
		"[load]\nrate = [5, 4]":                                         "s.toml:2: load.rate: ",
		"[load]\nrat = 5":                                               "s.toml:2: load.rat: there is no such field",
		"length = '1ms'":                                                "s.toml:1: length: 1ms is not from 100ms to 24h",
		"[boxes]\ncount = 0":                                            "s.toml:2: boxes.count: must be from 1",
		"[zones]\nnames = ['a','b']\ntraffic = [1]":                     "s.toml:3: zones.traffic: has 1 shares for 2 zones",
		"[[kind]]\nname = 'x'\neviction = 'random'":                     "s.toml:3: kind[0].eviction: \"random\"",
		"[[fault]]\nkind = 'quake'":                                     "s.toml:2: fault[0].kind: \"quake\" is none of deploy",
		"[[fault]]\nkind = 'kill'\nat = 3":                              "s.toml:3: fault",
		"[[fault]]\nkind = 'kill'\n[[fault]]\nkind = 'slow'":            "s.toml:3: fault[1].factor: a fault of the kind slow needs it",
		"[[load.shape]]\nkind = 'sine'\nrate = 5":                       "s.toml:1: load.shape[0].period: a shape of the kind sine needs one",
		"[[load.heat]]\nshare = 2":                                      "s.toml:2: load.heat[0].share: must be from 0 to 1",
		"[[fault]]\nkind = 'cut'\nnodes = [0, 7]":                       "s.toml:3: fault[0].nodes: there may be no node 7",
		"[[class]]\nname = 'x'\neffect = 'idempotent'\ndeadline = '1s'": "s.toml:4: class[0].deadline: ",
		"[[fault]]\nkind = 'kill'\nzone = 'cellar'":                     "s.toml:3: fault[0].zone: there is no zone \"cellar\"",
	} {
		if _, err := read(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with %q", text, err, want)
		}
	}
}

// Guards against an invalid file in the folder scenarios, and against a seed that does not always give the same plan.
func TestShippedScenariosAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(paths) < 6 {
		t.Fatalf("found the scenarios %v, error %v; want 6 at least", paths, err)
	}
	kinds := map[model.FaultKind]bool{}
	for _, path := range paths {
		scenario, err := Read(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if scenario.About == "" || scenario.Name+".toml" != filepath.Base(path) {
			t.Errorf("%s: name %q and about %q, want the name of the file and a description", path, scenario.Name, scenario.About)
		}
		plan, repeated, other := scenario.Draw(1), scenario.Draw(1), scenario.Draw(2)
		if !reflect.DeepEqual(plan, repeated) {
			t.Errorf("%s: two plans of one seed differ: %+v and %+v", path, plan, repeated)
		}
		if reflect.DeepEqual(plan.Spec.CacheServers, other.Spec.CacheServers) {
			t.Errorf("%s: two seeds draw the same cache servers %+v", path, plan.Spec.CacheServers)
		}
		for _, fault := range plan.Spec.Faults {
			kinds[fault.Kind] = true
		}
	}
	if len(kinds) < 11 {
		t.Errorf("the scenarios have %d kinds of faults, want 11 at least", len(kinds))
	}
}

const kindsAndZones = `
[boxes]
count = 10
[zones]
names = ["a", "b"]
traffic = [3, 1]
boxes = [1, 4]
[nodes]
count = 3
[[kind]]
name = "big"
share = 0.25
cores = 16
[[kind]]
name = "small"
share = 0.75
memory_mb = [1, 2]
warm_after = "5s"
[[fault]]
kind = "drain"
at = ["1s", "2s"]
for = "3s"
of = "big"
`

func drawPlan(t *testing.T, text string, seed uint64) *Plan {
	t.Helper()
	scenario, err := read(t, text)
	if err != nil {
		t.Fatal(err)
	}
	return scenario.Draw(seed)
}

// Guards against fields that a kind in a file leaves out and that do not get the values of the standard kind, and against numbers
// of cache servers of a kind or in a zone that are not proportional to the weights.
func TestCacheServersAreDrawnByTheWeightsOfKindsAndZones(t *testing.T) {
	plan := drawPlan(t, kindsAndZones, 7)
	kinds, zones := map[string]int{}, map[string]int{}
	for _, server := range plan.Spec.CacheServers {
		kind := server.Kind
		kinds[kind.Name]++
		zones[server.Zone]++
		if kind.Name == "small" && (kind.SlowStartDuration != 5*time.Second || kind.Cores != 5 || kind.Memory < 1<<20 || kind.Memory > 2<<20) {
			t.Errorf("small server %+v, want a slow start of 5s, 5 cores and 1 to 2 MB", kind)
		}
	}
	if kinds["big"] != 3 && kinds["big"] != 2 || kinds["big"]+kinds["small"] != 10 || zones["a"] != 2 || zones["b"] != 8 {
		t.Errorf("kinds %v, zones %v; want 2 or 3 big of 10, and 2 in a and 8 in b", kinds, zones)
	}
}

func TestTimeOfAFaultIsDrawnFromItsRange(t *testing.T) {
	fault := drawPlan(t, kindsAndZones, 7).Spec.Faults[0]
	if fault.Kind != model.Drain || fault.At < time.Second || fault.At > 2*time.Second || fault.For != 3*time.Second || fault.Select.Kind != "big" {
		t.Errorf("fault %+v, want a drain of the kind big at 1s to 2s for 3s", fault)
	}
}

func TestLoadOfZonesIsDividedAmongTheirNodes(t *testing.T) {
	plan := drawPlan(t, kindsAndZones, 7)
	want := []float64{0.375, 0.25, 0.375}
	isNear := func(x, y float64) bool { return math.Abs(x-y) <= 1e-9 }
	if got := plan.Workload.NodeWeights; !slices.EqualFunc(got, want, isNear) {
		t.Errorf("weights of the nodes %v, want %v", got, want)
	}
}
