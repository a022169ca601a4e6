package tomlfile

import (
	"testing"
	"time"
)

type sample struct {
	Name string   `toml:"name"`
	Wait Duration `toml:"wait"`
	Deep struct {
		N int `toml:"n"`
	} `toml:"deep"`
	Item []struct {
		Kind string `toml:"kind"`
		At   [2]int `toml:"at"`
		Sub  []struct {
			X int `toml:"x"`
		} `toml:"sub"`
	} `toml:"item"`
}

func TestErrorsNameFileLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"name = 'x'\nnme = 1\n":                     "f.toml:2: nme: there is no such field",
		"[deep]\nn = 1\nm = 2\n":                    "f.toml:3: deep.m: there is no such field",
		"name = 'x'\n\nwait = 'long'\n":             "f.toml:3: wait: \"long\" is no duration such as \"250ms\" or \"1.5s\"",
		"[[item]]\nkind = 'a'\n[[item]]\nkid = 1\n": "f.toml:4: item.kid: there is no such field",
	} {
		if _, err := Parse("f.toml", []byte(text), &sample{}); err == nil || err.Error() != want {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	for _, text := range []string{"name = ", "= 3", "[deep]\nn = 'x'", "name = 1"} {
		if _, err := Parse("f.toml", []byte(text), &sample{}); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
	if _, err := Read("no/such/file.toml", &sample{}); err == nil || err.Error() != "no/such/file.toml: no such file or directory" {
		t.Errorf("a file that is not there: %v", err)
	}
}

func TestLinesOfFields(t *testing.T) {
	v := sample{Name: "default"}
	f, err := Parse("f.toml", []byte(`wait = "1.5s"
deep.n = 3

[[item]]
kind = "a"
[[item.sub]]
x = 1
[[item.sub]]
x = 2

[[item]]
at = [1, 2]
sub = [{x = 4}]
`), &v)
	if err != nil {
		t.Fatal(err)
	}
	if v.Wait.D() != 1500*time.Millisecond || v.Name != "default" || v.Item[0].Sub[1].X != 2 {
		t.Errorf("read %+v", v)
	}
	for field, want := range map[string]int{"wait": 1, "deep.n": 2, "item[0].kind": 5, "item[0].sub[1].x": 9,
		"item[1].at": 12, "item[1].kind": 11, "item[1].sub[0].x": 13, "name": 0} {
		if got := f.Line(field); got != want {
			t.Errorf("%s is on line %d, want %d", field, got, want)
		}
	}
	if f.Has("name") || !f.Has("deep.n") {
		t.Error("Has tells fields that are set from others wrongly")
	}
	if got := f.Errorf("item[1].kind", "must be %d", 7).Error(); got != "f.toml:11: item[1].kind: must be 7" {
		t.Error(got)
	}
}
