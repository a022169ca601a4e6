package trace

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shelfproxy/internal/testbed/workload"
)

var meta = Meta{Classes: []string{"read", "sign"}, Nodes: 2, From: "test"}

func arrivals(n int) (out []workload.Arrival) {
	for i := range n {
		out = append(out, workload.Arrival{At: time.Duration(i) * 3 * time.Millisecond, Class: i % 2, Key: fmt.Sprint("k", i%7), Node: i % 2,
			Size: i % 100, IdempotencyKey: []string{"", "0f"}[i%2]})
	}
	return out
}

func write(t testing.TB, path string, as []workload.Arrival) {
	t.Helper()
	w, err := Create(path, meta)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range as {
		if err := w.Add(a); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

func read(path string) (out []workload.Arrival, torn int64, err error) {
	r, err := Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer r.Close()
	for {
		a, err := r.Next()
		if err == io.EOF {
			return out, r.Torn(), nil
		}
		if err != nil {
			return out, 0, err
		}
		out = append(out, a)
	}
}

// Whatever is written is read again, to the microsecond.
func TestWrittenIsRead(t *testing.T) {
	dir := t.TempDir()
	n := 0
	rapid.Check(t, func(r *rapid.T) {
		n++
		path := filepath.Join(dir, fmt.Sprint(n))
		var as []workload.Arrival
		due := time.Duration(0)
		for range rapid.IntRange(0, 700).Draw(r, "n") {
			due += time.Duration(rapid.IntRange(0, 1e7).Draw(r, "gap")) * time.Microsecond
			as = append(as, workload.Arrival{At: due, Class: rapid.IntRange(0, 1).Draw(r, "class"), Node: rapid.IntRange(0, 300).Draw(r, "node"),
				Size: rapid.IntRange(0, 1<<20).Draw(r, "size"), Key: rapid.StringN(0, 20, 80).Draw(r, "key"), IdempotencyKey: rapid.StringN(0, 4, 16).Draw(r, "once")})
		}
		write(t, path, as)
		got, torn, err := read(path)
		if err != nil || torn != 0 || len(got) != len(as) || len(as) > 0 && !reflect.DeepEqual(got, as) {
			r.Fatalf("%d written, %d read, torn %d, %v", len(as), len(got), torn, err)
		}
		os.Remove(path)
	})
}

// A file that ends anywhere in its last block is read up to the block before, and can be added to: what was torn is cut
// off and reported.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	whole := filepath.Join(dir, "whole")
	as := arrivals(perBlock + 10)
	write(t, whole, as)
	text, _ := os.ReadFile(whole)
	w, _ := Create(filepath.Join(dir, "first"), meta)
	for _, a := range as[:perBlock] {
		w.Add(a)
	}
	w.Close()
	first, _ := os.Stat(filepath.Join(dir, "first"))
	for cut := int(first.Size()) + 1; cut < len(text); cut += 7 {
		path := filepath.Join(dir, fmt.Sprint("cut", cut))
		os.WriteFile(path, text[:cut], 0o600)
		got, torn, err := read(path)
		if err != nil || len(got) != perBlock || torn != int64(cut)-first.Size() {
			t.Fatalf("cut at %d: %d read, torn %d, %v", cut, len(got), torn, err)
		}
		w, m, lost, err := Append(path)
		if err != nil || lost != torn || !reflect.DeepEqual(m, meta) {
			t.Fatalf("cut at %d: %v, lost %d, %+v", cut, err, lost, m)
		}
		for _, a := range as[perBlock:] {
			w.Add(a)
		}
		w.Close()
		if got, torn, err := read(path); err != nil || torn != 0 || !reflect.DeepEqual(got, as) {
			t.Fatalf("cut at %d and added to: %d read, torn %d, %v", cut, len(got), torn, err)
		}
	}
	spoilt := bytes.Clone(text)
	spoilt[first.Size()-3] ^= 1 // in a block with another behind it
	os.WriteFile(filepath.Join(dir, "spoilt"), spoilt, 0o600)
	if _, _, err := read(filepath.Join(dir, "spoilt")); err == nil || !strings.Contains(err.Error(), "is spoilt") {
		t.Errorf("a spoilt block in the middle: %v", err)
	}
	for name, text := range map[string]string{"is no trace": "hello, world", "has version '9'": "SLTRACE9", "has no meta data": magic} {
		path := filepath.Join(dir, "bad")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := Open(path); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestTools(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	as := arrivals(1000) // 3 s
	write(t, path("all"), as)
	if n, err := Copy(path("all"), path("cut"), Cut(time.Second, 2*time.Second)); err != nil || n < 330 || n > 335 {
		t.Errorf("cut: %d, %v", n, err)
	}
	if _, err := Copy(path("all"), path("fast"), Scale(2)); err != nil {
		t.Fatal(err)
	}
	i, err := Inspect(path("fast"))
	if err != nil || i.Requests != 1000 || i.Length > 1500*time.Millisecond || i.Keys != 7 || i.ByClass[1] != 500 || i.Busiest < 600 {
		t.Errorf("at twice the speed: %+v, %v", i, err)
	}
	if _, err := Copy(path("all"), path("anon"), Anonymise("salt")); err != nil {
		t.Fatal(err)
	}
	anon, _, _ := read(path("anon"))
	if i, _ := Inspect(path("anon")); i.Keys != 7 || anon[0].Key == as[0].Key || anon[0].Key != anon[7].Key {
		t.Errorf("keys become %q and %q, %d in all", anon[0].Key, anon[7].Key, i.Keys)
	}
	var lines bytes.Buffer
	if err := Export(path("all"), &lines); err != nil {
		t.Fatal(err)
	}
	if n, err := Import(&lines, path("again")); err != nil || n != 1000 {
		t.Fatalf("import: %d, %v", n, err)
	}
	if again, _, err := read(path("again")); err != nil || !reflect.DeepEqual(again, as) {
		t.Errorf("exported and imported: %v", err)
	}
	for text, want := range map[string]string{`{"due_us":1}`: "line 1: class, key", `{"x":1}`: "line 1: ",
		`{"due_us":5,"class":"a","key":"k"}` + "\n" + `{"due_us":4,"class":"a","key":"k"}`: "line 2: due before"} {
		if _, err := Import(strings.NewReader(text), path("bad")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Whatever bytes a file has, reading it ends, with an error or without one.
func FuzzReader(f *testing.F) {
	path := filepath.Join(f.TempDir(), "seed")
	write(f, path, arrivals(300))
	text, _ := os.ReadFile(path)
	f.Add(text)
	f.Add(text[:len(text)-5])
	f.Add([]byte(magic + "\x02\x00\x00\x00\x00\x00\x00\x00{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "f")
		os.WriteFile(path, text, 0o600)
		read(path)
	})
}
