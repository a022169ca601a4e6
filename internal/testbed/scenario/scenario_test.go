package scenario

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
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
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// Every scenario that is shipped is good, and a seed draws the same plan from it each time.
func TestShippedScenarios(t *testing.T) {
	files, _ := filepath.Glob("../../../scenarios/*.toml")
	if len(files) < 6 {
		t.Fatalf("found %v", files)
	}
	kinds := map[model.FaultKind]bool{}
	for _, f := range files {
		s, err := Read(f)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.About == "" || s.Name+".toml" != filepath.Base(f) {
			t.Errorf("%s: name %q, about %q", f, s.Name, s.About)
		}
		a, b, c := s.Draw(1), s.Draw(1), s.Draw(2)
		if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a.Spec.CacheServers, c.Spec.CacheServers) {
			t.Errorf("%s: the seed does not tell plans apart, or one draws two", f)
		}
		for _, f := range a.Spec.Faults {
			kinds[f.Kind] = true
		}
	}
	if len(kinds) < 11 {
		t.Errorf("the scenarios show %d kinds of faults only", len(kinds))
	}
}

// A kind states what differs from a standard box; shares say how many of each there are and where.
func TestDrawBoxes(t *testing.T) {
	s, err := read(t, `
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
`)
	if err != nil {
		t.Fatal(err)
	}
	p := s.Draw(7)
	kinds, zones := map[string]int{}, map[string]int{}
	for _, b := range p.Spec.CacheServers {
		kinds[b.Kind.Name]++
		zones[b.Zone]++
		if b.Kind.Name == "small" && (b.Kind.SlowStartDuration != 5*time.Second || b.Kind.Cores != 5 || b.Kind.Memory < 1<<20 || b.Kind.Memory > 2<<20) {
			t.Errorf("a small box: %+v", b.Kind)
		}
	}
	if kinds["big"] != 3 && kinds["big"] != 2 || kinds["big"]+kinds["small"] != 10 || zones["a"] != 2 || zones["b"] != 8 {
		t.Errorf("kinds %v, zones %v", kinds, zones)
	}
	if want := []float64{0.375, 0.25, 0.375}; !near(p.Workload.NodeWeights, want) {
		t.Errorf("shares of the load %v, want %v", p.Workload.NodeWeights, want)
	}
	f := p.Spec.Faults[0]
	if f.Kind != model.Drain || f.At < time.Second || f.At > 2*time.Second || f.For != 3*time.Second || f.Select.Kind != "big" {
		t.Errorf("fault %+v", f)
	}
}

func near(a, b []float64) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if math.Abs(a[i]-b[i]) > 1e-9 {
			return false
		}
	}
	return true
}
