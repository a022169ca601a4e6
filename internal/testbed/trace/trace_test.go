package trace

import (
	"bytes"
	"errors"
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

var testMeta = Meta{Classes: []string{"read", "sign"}, Nodes: 2, From: "test"}

// testArrivals returns n requests, one every 3 ms. They alternate between both classes and both nodes, and cycle through seven
// keys.
func testArrivals(n int) (arrivals []workload.Arrival) {
	for i := range n {
		arrivals = append(arrivals, workload.Arrival{At: time.Duration(i) * 3 * time.Millisecond, Class: i % 2, Key: fmt.Sprint("k", i%7),
			Node: i % 2, Size: i % 100, IdempotencyKey: []string{"", "0f"}[i%2]})
	}
	return arrivals
}

func writeTrace(t testing.TB, path string, arrivals []workload.Arrival) {
	t.Helper()
	writer, err := Create(path, testMeta)
	if err != nil {
		t.Fatalf("create %s: %v", path, err)
	}
	addAll(t, writer, arrivals)
}

// addAll adds requests to a writer and closes the writer.
func addAll(t testing.TB, writer *Writer, arrivals []workload.Arrival) {
	t.Helper()
	for i, arrival := range arrivals {
		if err := writer.Add(arrival); err != nil {
			t.Fatalf("add request %d: %v", i, err)
		}
	}
	if err := writer.Close(); err != nil {
		t.Fatalf("close the writer: %v", err)
	}
}

func writeFile(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatalf("write %s: %v", path, err)
	}
}

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read %s: %v", path, err)
	}
	return content
}

func readTrace(path string) (arrivals []workload.Arrival, torn int64, err error) {
	reader, err := Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = reader.Close() }()
	for {
		arrival, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return arrivals, reader.Torn(), nil
		}
		if err != nil {
			return arrivals, 0, err
		}
		arrivals = append(arrivals, arrival)
	}
}

func TestRequestsAreReadAsTheyWereWritten(t *testing.T) {
	dir := t.TempDir()
	files := 0
	rapid.Check(t, func(r *rapid.T) {
		files++
		path := filepath.Join(dir, fmt.Sprint(files))
		var arrivals []workload.Arrival
		at := time.Duration(0)
		for range rapid.IntRange(0, 700).Draw(r, "n") {
			at += time.Duration(rapid.IntRange(0, 1e7).Draw(r, "gap")) * time.Microsecond
			arrivals = append(arrivals, workload.Arrival{At: at, Class: rapid.IntRange(0, 1).Draw(r, "class"), Node: rapid.IntRange(0, 300).Draw(r, "node"),
				Size: rapid.IntRange(0, 1<<20).Draw(r, "size"), Key: rapid.StringN(0, 20, 80).Draw(r, "key"), IdempotencyKey: rapid.StringN(0, 4, 16).Draw(r, "once")})
		}
		writeTrace(t, path, arrivals)
		got, torn, err := readTrace(path)
		if err != nil || torn != 0 || len(got) != len(arrivals) || len(arrivals) > 0 && !reflect.DeepEqual(got, arrivals) {
			r.Fatalf("%d written, %d read, torn %d, %v", len(arrivals), len(got), torn, err)
		}
		if err := os.Remove(path); err != nil {
			r.Fatalf("remove %s: %v", path, err)
		}
	})
}

// Guards against a trace that is unusable after its writer was interrupted. If the file ends in the middle of its last block, all
// earlier blocks are read. Requests can be added once the incomplete block was truncated.
func TestIncompleteLastBlockIsIgnoredAndReported(t *testing.T) {
	dir := t.TempDir()
	arrivals := testArrivals(requestsPerBlock + 10)
	complete, firstBlock := filepath.Join(dir, "complete"), filepath.Join(dir, "first-block")
	writeTrace(t, complete, arrivals)
	writeTrace(t, firstBlock, arrivals[:requestsPerBlock])
	content, firstBlockSize := readFile(t, complete), len(readFile(t, firstBlock))
	for size := firstBlockSize + 1; size < len(content); size += 7 {
		path := filepath.Join(dir, fmt.Sprint("cut", size))
		writeFile(t, path, content[:size])
		got, torn, err := readTrace(path)
		if err != nil || len(got) != requestsPerBlock || torn != int64(size-firstBlockSize) {
			t.Fatalf("cut at %d: %d read, torn %d, %v; want %d and %d", size, len(got), torn, err, requestsPerBlock, size-firstBlockSize)
		}
		writer, meta, cutOff := appendTo(t, path)
		if cutOff != torn || !reflect.DeepEqual(meta, testMeta) {
			t.Fatalf("cut at %d: %d bytes cut off, metadata %+v; want %d, %+v", size, cutOff, meta, torn, testMeta)
		}
		addAll(t, writer, arrivals[requestsPerBlock:])
		if got, torn, err := readTrace(path); err != nil || torn != 0 || !reflect.DeepEqual(got, arrivals) {
			t.Fatalf("cut at %d and added to: %d read, torn %d, %v; want all %d", size, len(got), torn, err, len(arrivals))
		}
	}
	corrupt := bytes.Clone(content)
	corrupt[firstBlockSize-3] ^= 1 // in the first block of requests, which is not the last block
	path := filepath.Join(dir, "corrupt")
	writeFile(t, path, corrupt)
	if _, _, err := readTrace(path); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a corrupt block in the middle: %v, want %v", err, ErrCorrupt)
	}
}

func TestFileThatIsNoTraceIsRejected(t *testing.T) {
	for want, content := range map[string]string{"is no trace": "hello, world", "has version '9'": "SLTRACE9", "has no metadata": magic} {
		path := filepath.Join(t.TempDir(), "bad")
		writeFile(t, path, []byte(content))
		if _, err := Open(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", content, err, want)
		}
	}
}

func TestTraceIsCutScaledAndAnonymised(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	arrivals := testArrivals(1000) // 1000 requests in 3 s
	writeTrace(t, path("all"), arrivals)
	if written, err := Copy(path("all"), path("cut"), Cut(time.Second, 2*time.Second)); err != nil || written < 330 || written > 335 {
		t.Errorf("cut: %d, %v; want 330 to 335", written, err)
	}
	if _, err := Copy(path("all"), path("fast"), Scale(2)); err != nil {
		t.Fatalf("scale: %v", err)
	}
	info, err := Inspect(path("fast"))
	if err != nil || info.Requests != 1000 || info.Length > 1500*time.Millisecond || info.Keys != 7 || info.ByClass[1] != 500 || info.BusiestSecond < 600 {
		t.Errorf("at twice the speed: %+v, %v", info, err)
	}
	if _, err := Copy(path("all"), path("anon"), Anonymise("salt")); err != nil {
		t.Fatalf("anonymise: %v", err)
	}
	anonymous, _, err := readTrace(path("anon"))
	if err != nil {
		t.Fatalf("read the anonymised trace: %v", err)
	}
	info, err = Inspect(path("anon"))
	if err != nil || info.Keys != 7 || anonymous[0].Key == arrivals[0].Key || anonymous[0].Key != anonymous[7].Key {
		t.Errorf("keys become %q and %q, %d in all, %v", anonymous[0].Key, anonymous[7].Key, info.Keys, err)
	}
}

func TestExportedTraceCanBeImported(t *testing.T) {
	dir := t.TempDir()
	arrivals := testArrivals(1000)
	original, copied := filepath.Join(dir, "original"), filepath.Join(dir, "copied")
	writeTrace(t, original, arrivals)
	var lines bytes.Buffer
	if err := Export(original, &lines); err != nil {
		t.Fatalf("export: %v", err)
	}
	if requests, err := Import(&lines, copied); err != nil || requests != len(arrivals) {
		t.Fatalf("import: %d, %v; want %d", requests, err, len(arrivals))
	}
	if got, _, err := readTrace(copied); err != nil || !reflect.DeepEqual(got, arrivals) {
		t.Errorf("exported and imported: %d read, %v; want the %d that were written", len(got), err, len(arrivals))
	}
}

func TestInvalidLineOfAnImportIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		`{"due_us":1}`: "line 1: class, key",
		`{"x":1}`:      "line 1: ",
		`{"due_us":5,"class":"a","key":"k"}` + "\n" + `{"due_us":4,"class":"a","key":"k"}`: "line 2: due before",
	} {
		path := filepath.Join(t.TempDir(), "bad")
		if _, err := Import(strings.NewReader(text), path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

func TestReplayMapsClassesAndNodesToThoseOfThePlan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace")
	writeTrace(t, path, testArrivals(4))
	reader, err := Open(path)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	t.Cleanup(func() { _ = reader.Close() })
	replay, err := NewReplay(reader, []string{"sign", "other", "read"}, 1, 2)
	if err != nil {
		t.Fatalf("replay: %v", err)
	}
	for i, class := range []int{2, 0, 2, 0} {
		arrival, ok := replay.Next()
		if at := time.Duration(i) * 3 * time.Millisecond / 2; !ok || arrival.Class != class || arrival.Node != 0 || arrival.At != at {
			t.Errorf("request %d: %+v, %v; want class %d, node 0, at %s", i, arrival, ok, class, at)
		}
	}
	if arrival, ok := replay.Next(); ok {
		t.Errorf("%+v after the last request", arrival)
	}
	if _, err := NewReplay(reader, []string{"sign"}, 1, 1); err == nil || !strings.Contains(err.Error(), `class "read"`) {
		t.Errorf("a plan without a class: %v, want its name", err)
	}
	if _, err := NewReplay(reader, []string{"sign", "read"}, 1, 0); !errors.Is(err, ErrInvalidSpeed) {
		t.Errorf("speed 0: %v, want %v", err, ErrInvalidSpeed)
	}
}

// Guards against a reader that hangs or panics on a corrupt file: whatever bytes a file contains, the reader must stop, at the
// end or with an error.
func FuzzReader(f *testing.F) {
	path := filepath.Join(f.TempDir(), "seed")
	writeTrace(f, path, testArrivals(300))
	content := readFile(f, path)
	f.Add(content)
	f.Add(content[:len(content)-5])
	f.Add([]byte(magic + "\x02\x00\x00\x00\x00\x00\x00\x00{}"))
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(t.TempDir(), "f")
		writeFile(t, path, content)
		if arrivals, _, err := readTrace(path); err != nil && len(arrivals) > len(content) {
			t.Errorf("%d requests of %d bytes before %v", len(arrivals), len(content), err)
		}
	})
}
