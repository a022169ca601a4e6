package gossip

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const platformDatagramBytes = 256 // size of the longest datagram that the platform carries

// observationModel holds, for each server, the observation that a Buffer should hold.
type observationModel map[Fingerprint]Observation

// addEvent applies one random event about a server to the buffer and to the model.
func (m observationModel) addEvent(t *rapid.T, buffer *Buffer) {
	server := Fingerprint(rapid.IntRange(0, 70).Draw(t, "server") << 17)
	want := m[server]
	want.Server = server
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		buffer.Recovered(server)
		want.Recovered, want.Unresponsive = true, false
	case 1:
		buffer.Unresponsive(server)
		want.Recovered, want.Unresponsive = false, true
	default:
		isFailure := rapid.Bool().Draw(t, "failure")
		buffer.AttemptEnded(server, isFailure)
		if want.Attempts < maxAttempts {
			if want.Attempts++; isFailure {
				want.Failures++
			}
		}
	}
	m[server] = want
}

// TestBufferRoundTrip: every observation that a buffer collects, and each of its last maxKeys keys, is found in exactly one of
// the datagrams that the buffer encodes.
func TestBufferRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buffer Buffer
		var keys []Fingerprint
		for range rapid.IntRange(0, 40).Draw(t, "keys") {
			key := Fingerprint(rapid.IntRange(0, fingerprintMask).Draw(t, "key"))
			keys = append(keys, key)
			buffer.KeyRequested(key)
		}
		keys = keys[max(0, len(keys)-maxKeys):]
		want := observationModel{}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			want.addEvent(t, &buffer)
		}
		for data := buffer.Encode(); data != nil; data = buffer.Encode() {
			if len(data) > platformDatagramBytes {
				t.Fatalf("got a datagram of %d bytes, want %d at most", len(data), platformDatagramBytes)
			}
			message, err := Decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(message.Keys, keys) {
				t.Fatalf("got keys %v, want %v", message.Keys, keys)
			}
			keys = nil // the first datagram holds all keys, so the later ones must hold none
			for _, got := range message.Observations {
				if wanted, ok := want[got.Server]; !ok || wanted != got {
					t.Fatalf("got %+v, want %+v", got, wanted)
				}
				delete(want, got.Server)
			}
		}
		if len(want) != 0 {
			t.Fatalf("%d observations were lost", len(want))
		}
	})
}

func TestMalformedDatagramsAreRejected(t *testing.T) {
	good := []byte{version, 1, 0, 0, 5, 0, 0, 7, 2<<attemptsShift | 1<<failuresShift, 0, 0, 8, flagUnresponsive}
	for name, data := range map[string][]byte{
		"empty":                       {},
		"no key and no observation":   {version, 0},
		"another version":             append([]byte{9}, good[1:]...),
		"truncated":                   good[:12],
		"truncated in the key":        good[:4],
		"too many keys":               append([]byte{version, maxKeys + 1}, bytes.Repeat([]byte{0, 0, 1}, maxKeys+1)...),
		"too many observations":       append([]byte{version, 0}, bytes.Repeat([]byte{0, 0, 1, 1 << attemptsShift}, maxObservations+1)...),
		"more failures than attempts": {version, 0, 0, 0, 7, 1<<attemptsShift | 2<<failuresShift},
		"unresponsive and recovered":  {version, 0, 0, 0, 7, flagUnresponsive | flagRecovered},
	} {
		if got, err := Decode(data); !errors.Is(err, ErrMalformed) || len(got.Observations)+len(got.Keys) != 0 {
			t.Errorf("%s: got %v, %v, want nothing and %v", name, got, err, ErrMalformed)
		}
	}
	got, err := Decode(good)
	if err != nil || len(got.Observations) != 2 || !got.Observations[1].Unresponsive || !slices.Equal(got.Keys, []Fingerprint{5}) {
		t.Errorf("got %v, %v, want key 5 and two observations, the second of an unresponsive server", got, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{version, 0, 0, 0, 7, 2<<attemptsShift | 1<<failuresShift})
	f.Add([]byte{version, 2, 0, 0, 7, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := Decode(data)
		if err != nil && len(message.Keys) > 0 || len(message.Keys) > maxKeys {
			t.Fatalf("got %v, %v", message, err)
		}
		for _, observation := range message.Observations {
			if err != nil || observation.Failures > observation.Attempts || observation.Attempts > maxAttempts {
				t.Fatalf("got %v, %v", message, err)
			}
		}
	})
}
