package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"shelfproxy/internal/testbed/workload"
)

// Change makes another request of one, or drops it.
type Change func(workload.Arrival) (workload.Arrival, bool)

// Copy writes the requests of a trace, changed, into a new file.
func Copy(from, to string, change Change) (n int, err error) {
	r, err := Open(from)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	w, err := Create(to, r.Meta)
	if err != nil {
		return 0, err
	}
	for {
		a, err := r.Next()
		if err == io.EOF {
			return n, w.Close()
		}
		if err == nil {
			if b, keep := change(a); keep {
				n++
				err = w.Add(b)
			}
		}
		if err != nil {
			return n, errors.Join(err, w.Close())
		}
	}
}

// Cut keeps what was due from one time to another, which becomes the start.
func Cut(from, to time.Duration) Change {
	return func(a workload.Arrival) (workload.Arrival, bool) {
		keep := a.At >= from && (to <= 0 || a.At < to)
		a.At -= from
		return a, keep
	}
}

// Scale plays it so many times as fast.
func Scale(speed float64) Change {
	return func(a workload.Arrival) (workload.Arrival, bool) {
		a.At = time.Duration(float64(a.At) / speed)
		return a, true
	}
}

// Anonymise puts a hash in the place of every key, salted so that nobody can look a key up. Keys that were the same stay
// the same.
func Anonymise(salt string) Change {
	hide := func(s string) string {
		if s == "" {
			return ""
		}
		return strconv.FormatUint(xxhash.Sum64String(salt+"\x00"+s), 36)
	}
	return func(a workload.Arrival) (workload.Arrival, bool) {
		a.Key, a.IdempotencyKey = hide(a.Key), hide(a.IdempotencyKey)
		return a, true
	}
}

// Info is what a trace holds.
type Info struct {
	Meta     Meta
	Requests int
	Length   time.Duration
	ByClass  []int
	Keys     int
	Hottest  string
	HotShare float64
	Busiest  int // requests in the busiest second
	Torn     int64
}

// Inspect reads a trace through.
func Inspect(path string) (Info, error) {
	r, err := Open(path)
	if err != nil {
		return Info{}, err
	}
	defer r.Close()
	i := Info{Meta: r.Meta, ByClass: make([]int, len(r.Meta.Classes))}
	keys, seconds := map[string]int{}, map[int64]int{}
	for {
		a, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return i, err
		}
		i.Requests++
		i.Length = max(i.Length, a.At)
		i.ByClass[a.Class]++
		keys[a.Key]++
		seconds[int64(a.At/time.Second)]++
	}
	i.Keys, i.Torn = len(keys), r.Torn()
	most := 0
	for k, n := range keys {
		if n > most || n == most && k < i.Hottest {
			most, i.Hottest = n, k
		}
	}
	for _, n := range seconds {
		i.Busiest = max(i.Busiest, n)
	}
	i.HotShare = float64(most) / float64(max(1, i.Requests))
	return i, nil
}

// line is a request as a line of JSON.
type line struct {
	DueMicros int64  `json:"due_us"`
	Class     string `json:"class"`
	Key       string `json:"key"`
	Node      int    `json:"node,omitempty"`
	Size      int    `json:"size,omitempty"`
	Once      string `json:"once,omitempty"`
}

// Export writes a trace as lines of JSON.
func Export(path string, w io.Writer) error {
	r, err := Open(path)
	if err != nil {
		return err
	}
	defer r.Close()
	enc := json.NewEncoder(w)
	for {
		a, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = enc.Encode(line{a.At.Microseconds(), r.Meta.Classes[a.Class], a.Key, a.Node, a.Size, a.IdempotencyKey})
		}
		if err != nil {
			return err
		}
	}
}

// Import makes a trace of lines of JSON, which must be in the order in which they are due.
func Import(rd io.Reader, path string) (n int, err error) {
	dec := json.NewDecoder(rd)
	dec.DisallowUnknownFields()
	var all []workload.Arrival
	m := Meta{From: "import"}
	for {
		var l line
		if err := dec.Decode(&l); err == io.EOF {
			break
		} else if err != nil {
			return 0, fmt.Errorf("trace: line %d: %w", len(all)+1, err)
		}
		switch {
		case l.Class == "" || l.Key == "" || l.DueMicros < 0 || l.Size < 0 || l.Node < 0:
			return 0, fmt.Errorf("trace: line %d: class, key, due_us, size or node makes no sense", len(all)+1)
		case len(all) > 0 && time.Duration(l.DueMicros)*time.Microsecond < all[len(all)-1].At:
			return 0, fmt.Errorf("trace: line %d: due before the one ahead of it", len(all)+1)
		}
		class := slices.Index(m.Classes, l.Class)
		if class < 0 {
			class = len(m.Classes)
			m.Classes = append(m.Classes, l.Class)
		}
		m.Nodes = max(m.Nodes, l.Node+1)
		all = append(all, workload.Arrival{At: time.Duration(l.DueMicros) * time.Microsecond, Class: class, Key: l.Key, Node: l.Node,
			Size: l.Size, IdempotencyKey: l.Once})
	}
	w, err := Create(path, m)
	if err != nil {
		return 0, err
	}
	for _, a := range all {
		err = errors.Join(err, w.Add(a))
	}
	return len(all), errors.Join(err, w.Close())
}
