package gossip

import (
	"bytes"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestNotesComeBackAsTheyWere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Buffer
		want := map[Fingerprint]*Observation{}
		var keys []Fingerprint
		for range rapid.IntRange(0, 40).Draw(t, "keys") {
			keys = append(keys, Fingerprint(rapid.IntRange(0, markBits).Draw(t, "key")))
			l.KeyRequested(keys[len(keys)-1])
		}
		keys = keys[max(0, len(keys)-maxKeys):]
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			m := Fingerprint(rapid.IntRange(0, 70).Draw(t, "server") << 17)
			n := want[m]
			if n == nil {
				n = &Observation{Server: m}
				want[m] = n
			}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				l.Recovered(m)
				n.Recovered, n.Unresponsive = true, false
			case 1:
				l.Unresponsive(m)
				n.Recovered, n.Unresponsive = false, true
			default:
				bad := rapid.Bool().Draw(t, "bad")
				l.AttemptEnded(m, bad)
				if n.Attempts < maxCount {
					if n.Attempts++; bad {
						n.Failures++
					}
				}
			}
		}
		for data := l.Encode(); data != nil; data = l.Encode() {
			if len(data) > 256 {
				t.Fatalf("a datagram of %d bytes", len(data))
			}
			news, err := Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(news.Keys, keys) {
				t.Fatalf("read the keys %v, want %v", news.Keys, keys)
			}
			keys = nil
			for _, n := range news.Observations {
				if w := want[n.Server]; w == nil || !reflect.DeepEqual(*w, n) {
					t.Fatalf("read %+v, want %+v", n, w)
				}
				delete(want, n.Server)
			}
		}
		if len(want) != 0 {
			t.Fatalf("%d notes were lost", len(want))
		}
	})
}

func TestMalformedDatagramsCountForNothing(t *testing.T) {
	good := []byte{version, 1, 0, 0, 5, 0, 0, 7, 2<<5 | 1<<2, 0, 0, 8, flagSilent}
	for name, b := range map[string][]byte{
		"empty":                {},
		"no key and no note":   {version, 0},
		"another version":      append([]byte{9}, good[1:]...),
		"cut short":            good[:12],
		"cut short in the key": good[:4],
		"too many keys":        append([]byte{version, maxKeys + 1}, bytes.Repeat([]byte{0, 0, 1}, maxKeys+1)...),
		"too many notes":       append([]byte{version, 0}, bytes.Repeat([]byte{0, 0, 1, 1 << 5}, maxNotes+1)...),
		"more bad than seen":   {version, 0, 0, 0, 7, 1<<5 | 2<<2},
		"silent and answered":  {version, 0, 0, 0, 7, flagSilent | flagAnswered},
	} {
		if news, err := Decode(b); err == nil || len(news.Observations)+len(news.Keys) != 0 {
			t.Errorf("%s: read as %v", name, news)
		}
	}
	if news, err := Decode(good); err != nil || len(news.Observations) != 2 || !news.Observations[1].Unresponsive || !slices.Equal(news.Keys, []Fingerprint{5}) {
		t.Errorf("%v, %v", news, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{version, 0, 0, 0, 7, 2<<5 | 1<<2})
	f.Add([]byte{version, 2, 0, 0, 7, 1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		news, err := Decode(b)
		if err != nil && len(news.Keys) > 0 || len(news.Keys) > maxKeys {
			t.Fatalf("%v, %v", news, err)
		}
		for _, n := range news.Observations {
			if err != nil || n.Failures > n.Attempts || n.Attempts > maxCount {
				t.Fatalf("%v, %v", news, err)
			}
		}
	})
}

func TestShareOfSlots(t *testing.T) {
	for _, test := range []struct{ bad, all, want float64 }{
		{0, 0, 1}, {0.3, 0, 1}, {0.45, 0, 0.5}, {1, 0, keepLeast}, {1, 1, 1}, {0.9, 0.8, 1}, {0.6, 0.1, 1.0 / 3},
	} {
		o := NewAssessment(1)
		if o.Update(test.bad, test.all); o.KeptFraction < test.want-1e-9 || o.KeptFraction > test.want+1e-9 {
			t.Errorf("%v bad where all are %v: keeps %v, want %v", test.bad, test.all, o.KeptFraction, test.want)
		}
	}
}

// TestWitnesses: one node that is cut off must not take a server from all the others.
func TestWitnesses(t *testing.T) {
	type word struct {
		at     Time
		from   int
		failed bool
	}
	for name, test := range map[string]struct {
		words []word
		want  bool
	}{
		"one, again and again":     {[]word{{0, 3, false}, {time.Second, 3, false}}, false},
		"two":                      {[]word{{0, 3, false}, {time.Second, 4, false}}, true},
		"two, long apart":          {[]word{{0, 3, false}, {3 * time.Second, 4, false}}, false},
		"one, and its own attempt": {[]word{{0, 3, true}}, true},
	} {
		o, got := NewAssessment(1), false
		for _, w := range test.words {
			got = o.Corroborate(w.at, w.from, w.failed)
		}
		if got != test.want {
			t.Errorf("%s: believed %v", name, got)
		}
	}
}

// TestTalkIsPaidFor: nothing is told of a server that is well, less the more is known, good and bad alike, and not
// by all nodes at once.
func TestTalkIsPaidFor(t *testing.T) {
	well, ill := NewAssessment(1), NewAssessment(2)
	well.Update(0.05, 0)
	ill.Update(0.6, 0)
	talk := Sender{FleetSize: 80}
	for i := range 100 {
		talk.AttemptEnded(&well, 1, true, float64(i)/100)
	}
	if b := talk.NextDatagram(time.Hour, 0); b != nil {
		t.Errorf("told %v of a server that is well", b)
	}
	told := func(timings float64, bad bool) (n int) {
		for i := range 1000 {
			var one Sender
			one.AttemptEnded(&ill, timings, bad, float64(i)/1000)
			n += len(one.notes)
		}
		return n
	}
	if few, many := told(2, true), told(30, true); few != 1000 || many > 20 {
		t.Errorf("of 1000 timings %d are told where few are known and %d where many are", few, many)
	}
	if good, bad := told(12, false), told(12, true); good != bad {
		t.Errorf("%d good ones are told and %d bad ones", good, bad)
	}
	sent := 0
	for now := Time(0); now < 10*time.Second; now += 10 * time.Millisecond {
		talk.Unresponsive(1)
		if talk.NextDatagram(now, 0.5) != nil {
			sent++
		}
	}
	if sent > 27 { // 80 nodes, 5 ms each
		t.Errorf("%d datagrams in 10 s", sent)
	}
	if mute := (Sender{Disabled: true, Buffer: Buffer{notes: []Observation{{Unresponsive: true}}}}); mute.NextDatagram(0, 0) != nil {
		t.Error("a datagram where none is allowed")
	}
}

// TestKeysThatRepeatAreToldAtOnce: a key that comes twice within a few requests goes out before its time, unless that is
// what it is known to draw; of all others about one in eight goes with the next datagram.
func TestKeysThatRepeatAreToldAtOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		between int // other requests between the two
		share   float64
		want    bool
	}{{"unknown", 0, 0, true}, {"a few between", near - 2, 0, true}, {"many between", near, 0, false},
		{"known to draw little", 0, 0.01, true}, {"known to draw much", 0, 0.2, false}} {
		talk := Sender{FleetSize: 300}
		talk.NextDatagram(0, 0.5) // the next is due in 1.5 s
		talk.KeyRequested(7, test.share, 1)
		for i := range test.between {
			talk.KeyRequested(Fingerprint(100+i), 0, 1)
		}
		talk.KeyRequested(7, test.share, 1)
		news, _ := Decode(talk.NextDatagram(soonest, 0.5))
		if got := slices.Contains(news.Keys, 7); got != test.want {
			t.Errorf("%s: told at once %v", test.name, got)
		}
	}
	var l Sender
	for i := range 1000 {
		l.KeyRequested(Fingerprint(i), 0, float64(i)/1000)
		if i == 124 || i == 999 {
			if data := l.Encode(); len(data) != header+keySize*maxKeys && i == 124 || data != nil && i == 999 {
				t.Errorf("request %d: %d bytes", i, len(data))
			}
		}
	}
}
