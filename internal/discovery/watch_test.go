package discovery

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/discovery/polling"
)

const (
	testEntry = `{"instanceId":"s-1","hostPort":"10.1.0.18:6379","zone":"a}{\"","machineType":"m2","cell":3,"lifecycle":"draining","weight":1.0,"startedAtMs":0}`
	testList  = `{"generation":43,"reset":false,"instances":[` + testEntry + `]}`
)

// openWatch returns a watch whose call was answered with status 200 at the time now.
func openWatch(t *testing.T, now time.Time) *WatchState {
	t.Helper()
	watch := NewWatchState(now, time.Second)
	if err := watch.ResponseReceived(now, http.StatusOK); err != nil {
		t.Fatal(err)
	}
	return watch
}

// TestWatchTakesListsInAnyForm: a list is returned as soon as its last byte has arrived. The list may be on one line or indented
// over many lines, and its bytes may be split anywhere. An incomplete list is not returned, however the watch ends.
func TestWatchTakesListsInAnyForm(t *testing.T) {
	indented := strings.NewReplacer(`,"`, ",\n  \"", `[`, "[\n\t", `]}`, "\n]\n}").Replace(testList)
	now := time.Unix(1000, 0)
	for name, text := range map[string]string{
		"one line":          testList,
		"indented":          indented,
		"line ends of CRLF": strings.ReplaceAll(indented, "\n", "\r\n"),
	} {
		for at := range len(text) {
			watch := openWatch(t, now)
			lists, err := watch.BytesReceived(now, []byte("\n"+text[:at]))
			if len(lists) > 0 || err != nil {
				t.Fatalf("%s, first %d bytes: got %d lists, error %v, want none", name, at, len(lists), err)
			}
			lists, err = watch.BytesReceived(now, []byte(text[at:]))
			if len(lists) != 1 || err != nil || lists[0].Version != 43 || lists[0].Servers[0].State != Draining {
				t.Fatalf("%s, split at %d: got %+v, error %v, want version 43 with a draining server", name, at, lists, err)
			}
			if err := watch.ConnectionEnded(nil); !errors.Is(err, ErrWatchClosed) {
				t.Fatalf("%s: ended with %v, want %v", name, err, ErrWatchClosed)
			}
		}
	}
}

// TestWatchFindsTruncatedList: if more lines follow a truncated list, the watch ends with an error at the next line at the
// latest, wherever the list was truncated. Otherwise these lines would be read as part of the list.
func TestWatchFindsTruncatedList(t *testing.T) {
	now := time.Unix(1000, 0)
	for at := 1; at < len(testList); at++ {
		for name, behind := range map[string]string{
			"keep-alives":         "\n\n",
			"another list":        "\n" + testList + "\n\n",
			"keep-alives of CRLF": "\r\n\r\n",
		} {
			watch := openWatch(t, now)
			lists, err := watch.BytesReceived(now, []byte(testList[:at]+behind))
			if len(lists) > 0 || !errors.Is(err, ErrMalformed) {
				t.Fatalf("truncated at %d, then %s: got %d lists, error %v, want none and %v", at, name, len(lists), err, ErrMalformed)
			}
		}
	}
}

// TestWatchTimesOut: a watch ends if neither a line nor a list was completed for polling.WatchTimeout. A call that is not
// answered ends after its own timeout.
func TestWatchTimesOut(t *testing.T) {
	now := time.Unix(1000, 0)
	watch := NewWatchState(now, time.Second)
	if err := watch.CheckTimeout(now.Add(time.Second)); !errors.Is(err, ErrCallTimeout) {
		t.Errorf("call without a response: got %v, want %v", err, ErrCallTimeout)
	}
	watch = openWatch(t, now)
	for _, line := range []string{"\n", "{\"generation\":\n", "43,\"instances\":[]}", "\n"} {
		now = now.Add(polling.WatchTimeout - time.Millisecond)
		if err := watch.CheckTimeout(now); err != nil {
			t.Fatalf("before %q: %v", line, err)
		}
		if _, err := watch.BytesReceived(now, []byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	if err := watch.CheckTimeout(now.Add(polling.WatchTimeout)); !errors.Is(err, ErrWatchTimeout) {
		t.Errorf("nothing for %v: got %v, want %v", polling.WatchTimeout, err, ErrWatchTimeout)
	}
}

// TestWatchReportsStatus: an HTTP status other than 200 ends the watch with a StatusError that holds the status.
func TestWatchReportsStatus(t *testing.T) {
	now := time.Unix(1000, 0)
	err := NewWatchState(now, time.Second).ResponseReceived(now, http.StatusServiceUnavailable)
	var status *StatusError
	if !errors.As(err, &status) || status.Status != http.StatusServiceUnavailable {
		t.Errorf("got %v, want a StatusError of %d", err, http.StatusServiceUnavailable)
	}
}
