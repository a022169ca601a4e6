package tomlfile

import (
	"errors"
	"io/fs"
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

func TestErrorNamesFileLineAndField(t *testing.T) {
	for text, want := range map[string]string{
		"name = 'x'\nnme = 1\n":                     "f.toml:2: nme: there is no such field",
		"[deep]\nn = 1\nm = 2\n":                    "f.toml:3: deep.m: there is no such field",
		"name = 'x'\n\nwait = 'long'\n":             "f.toml:3: wait: \"long\" is no duration such as \"250ms\" or \"1.5s\"",
		"[[item]]\nkind = 'a'\n[[item]]\nkid = 1\n": "f.toml:4: item.kid: there is no such field",
	} {
		if _, err := Parse("f.toml", []byte(text), &sample{}); err == nil || err.Error() != want {
			t.Errorf("%q: got the error %v, want %s", text, err, want)
		}
	}
}

func TestInvalidTextIsAnError(t *testing.T) {
	for _, text := range []string{"name = ", "= 3", "[deep]\nn = 'x'", "name = 1"} {
		_, err := Parse("f.toml", []byte(text), &sample{})
		var found *Error
		if !errors.As(err, &found) || found.Path != "f.toml" || found.Line == 0 {
			t.Errorf("%q: got %v, want an *Error with the file and the line", text, err)
		}
	}
}

func TestMissingFileIsAnErrorWithItsPath(t *testing.T) {
	const want = "no/such/file.toml: no such file or directory"
	_, err := Read("no/such/file.toml", &sample{})
	if err == nil || err.Error() != want || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got the error %v, want %s as an fs.ErrNotExist", err, want)
	}
}

const sampleText = `wait = "1.5s"
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
`

func TestFieldsHaveTheirLines(t *testing.T) {
	value := sample{Name: "default"}
	file, err := Parse("f.toml", []byte(sampleText), &value)
	if err != nil {
		t.Fatal(err)
	}
	if value.Wait.D() != 1500*time.Millisecond || value.Name != "default" || value.Item[0].Sub[1].X != 2 {
		t.Errorf("got %+v, want a wait of 1.5s, the default name and 2 in item[0].sub[1].x", value)
	}
	for field, want := range map[string]int{
		"wait":             1,
		"deep.n":           2,
		"item[0].kind":     5,
		"item[0].sub[1].x": 9,
		"item[1].at":       12,
		"item[1].kind":     11,
		"item[1].sub[0].x": 13,
		"name":             0,
	} {
		if got := file.Line(field); got != want {
			t.Errorf("%s: got the line %d, want %d", field, got, want)
		}
	}
	if file.Has("name") {
		t.Error("got that the file sets name, want that it does not")
	}
	if !file.Has("deep.n") {
		t.Error("got that the file does not set deep.n, want that it does")
	}
	const want = "f.toml:11: item[1].kind: must be 7"
	if got := file.Errorf("item[1].kind", "must be %d", 7).Error(); got != want {
		t.Errorf("got the error %q, want %q", got, want)
	}
}
