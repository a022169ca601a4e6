package jsonsplit

import (
	"errors"
	"fmt"
	"testing"

	"github.com/valyala/fastjson"
)

func TestMemberIsFoundWhereItStands(t *testing.T) {
	for object, want := range map[string]string{
		`{"a":1,"b":[{"x":"]}"}],"c":{}}`:       `[{"x":"]}"}]`,
		"{ \"b\" :\n\"q\\\"}\" , \"a\": null }": `"q\"}"`,
		`{"b":-1.5e3}`:                          `-1.5e3`,
		`{"c":{"b":1},"b":2} `:                  `2`,
		`{"c":{"b":1}}`:                         "",
		`{"b":1,"b":2}`:                         "", // not split: two members have the wanted name
		`{"\u0062":1,"b":2}`:                    "", // not split: a name with an escape may be equal to the wanted name
		`{"b":1,}`:                              "",
		`{"b":1}{}`:                             "",
		`{"b" 1}`:                               "",
		`{"b":}`:                                "",
		`{"b":[1}`:                              "",
		`{"b":"x`:                               "",
		`[{"b":1}]`:                             "",
		``:                                      "",
	} {
		start, end, ok := Member([]byte(object), "b")
		if got := object[start:end]; ok != (want != "") || ok && got != want {
			t.Errorf("%s: got %q and %v, want %q", object, got, ok, want)
		}
	}
}

func TestObjectsAreVisitedInOrder(t *testing.T) {
	for array, want := range map[string]string{
		`[]`:                         "true",
		` [ {"a":"}"} , {"b":[{}]}]`: `{"a":"}"};{"b":[{}]};true`,
		`[{}{}]`:                     "{};false",
		`[{},]`:                      "{};false",
		`[1]`:                        "false",
		`[{}`:                        "{};false",
		`{}`:                         "false",
		`[{}] x`:                     "{};false",
	} {
		got := ""
		ok, err := Objects([]byte(array), func(object []byte) error {
			got += string(object) + ";"
			return nil
		})
		if got += fmt.Sprint(ok); got != want || err != nil {
			t.Errorf("%s: got %s and %v, want %s", array, got, err, want)
		}
	}
	stop := errors.New("stop")
	if _, err := Objects([]byte(`[{},1]`), func([]byte) error { return stop }); !errors.Is(err, stop) {
		t.Errorf("got %v, want the error of the visit", err)
	}
}

// FuzzSplit guards against invalid JSON that splitting hides. A text that can be split has to be valid JSON if and only if all of
// its parts are valid. The parts are the text without the member, and each element of the member's array.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`{"a":1,"b":[{"x":"]}"},{}]}`, `{"b":[{}{}]}`, `{"b":[{]}`, `{"b":[{"a":}]}`, `{"b":[{"a":1 2}],"c":[}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		start, end, ok := Member(text, "b")
		if !ok {
			return
		}
		areValid := true
		isArray, err := Objects(text[start:end], func(object []byte) error {
			areValid = areValid && isParsed(string(object))
			return nil
		})
		if err != nil || !isArray {
			return
		}
		rest := string(text[:start]) + "[]" + string(text[end:])
		if isValid := isParsed(string(text)); isValid != (areValid && isParsed(rest)) {
			t.Errorf("%q: valid %v, elements %v, rest %v", text, isValid, areValid, isParsed(rest))
		}
	})
}

func isParsed(text string) bool {
	_, err := fastjson.Parse(text)
	return err == nil
}
