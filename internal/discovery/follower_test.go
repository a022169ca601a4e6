package discovery

import (
	"errors"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/discovery/polling"
)

const entry = `{"instanceId":"s-1","hostPort":"10.1.0.18:6379","zone":"a}{\"","machineType":"m2","cell":3,"lifecycle":"draining","weight":1.0,"startedAtMs":0}`

// TestFollowerTakesListsInAnyForm: a list is taken as soon as its last byte has come, on one line or indented over many, wherever it
// is cut; half a one is none, however the watch ends.
func TestFollowerTakesListsInAnyForm(t *testing.T) {
	list := `{"generation":43,"reset":false,"instances":[` + entry + `]}`
	indented := strings.NewReplacer(`,"`, ",\n  \"", `[`, "[\n\t", `]}`, "\n]\n}").Replace(list)
	now := time.Unix(1000, 0)
	for name, text := range map[string]string{"one line": list, "indented": indented, "with line ends of two bytes": strings.ReplaceAll(indented, "\n", "\r\n")} {
		for at := range len(text) {
			f := NewWatchState(now, time.Second)
			f.ResponseReceived(now, 200)
			half, err := f.BytesReceived(now, []byte("\n"+text[:at]))
			if len(half) > 0 || err != nil {
				t.Fatalf("%s, cut at %d: %d lists, %v", name, at, len(half), err)
			}
			whole, err := f.BytesReceived(now, []byte(text[at:]))
			if len(whole) != 1 || err != nil || whole[0].Version != 43 || whole[0].Servers[0].State != Draining {
				t.Fatalf("%s, cut at %d: %+v, %v", name, at, whole, err)
			}
			if err := f.ConnectionEnded(nil); !errors.Is(err, errEnded) {
				t.Fatalf("%s: %v at the end", name, err)
			}
		}
	}
}

// TestFollowerFindsACutList: the watch goes on behind half a list. That is found by the next line at the latest, wherever it was cut,
// and not taken for a list that is still on its way.
func TestFollowerFindsACutList(t *testing.T) {
	list := `{"generation":43,"reset":false,"instances":[` + entry + `]}`
	now := time.Unix(1000, 0)
	for at := 1; at < len(list); at++ {
		for name, behind := range map[string]string{"beats": "\n\n", "another list": "\n" + list + "\n\n", "beats of two bytes": "\r\n\r\n"} {
			f := NewWatchState(now, time.Second)
			f.ResponseReceived(now, 200)
			lists, err := f.BytesReceived(now, []byte(list[:at]+behind))
			if len(lists) > 0 || !errors.Is(err, ErrMalformed) {
				t.Fatalf("cut at %d, then %s: %d lists, %v", at, name, len(lists), err)
			}
		}
	}
}

// TestFollowerFindsSilence: a watch is broken once nothing has come for the longest time between two lines and half of that; a call
// that is not answered is given up.
func TestFollowerFindsSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewWatchState(now, time.Second)
	if err := f.CheckTimeout(now.Add(time.Second)); !errors.Is(err, errLate) {
		t.Errorf("not answered: %v", err)
	}
	f = NewWatchState(now, time.Second)
	f.ResponseReceived(now, 200)
	for _, line := range []string{"\n", "{\"generation\":\n", "43,\"instances\":[]}", "\n"} {
		now = now.Add(polling.WatchTimeout - time.Millisecond)
		if err := f.CheckTimeout(now); err != nil {
			t.Fatalf("before %q: %v", line, err)
		}
		if _, err := f.BytesReceived(now, []byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.CheckTimeout(now.Add(polling.WatchTimeout)); !errors.Is(err, errSilent) {
		t.Errorf("after a silence: %v", err)
	}
}
