package counters

import (
	"slices"
	"strings"
	"testing"
)

func TestClassCountersAreListedAfterTheRegisteredOnes(t *testing.T) {
	count := New([]string{"read", "sign"}, []string{"served", "failed"}, []string{"ok", "broken"})
	count.Register("rollout_asked").Add(7)
	count.Register("duty_held")
	count.RequestReceived(1)
	count.AttemptSent(1)
	count.AttemptSent(1)
	count.AttemptEnded(1, 1)
	count.RequestAnswered(1, 0)
	lines := strings.Split(strings.TrimSuffix(count.String(), "\n"), "\n")
	want := []string{
		"rollout_asked 7",
		"duty_held 0",
		`flows_in{class="read"} 0`,
		`forwards_sent{class="read"} 0`,
		`flows_answered{class="read",answer="served"} 0`,
		`flows_answered{class="read",answer="failed"} 0`,
		`forwards_ended{class="read",end="ok"} 0`,
		`forwards_ended{class="read",end="broken"} 0`,
		`flows_in{class="sign"} 1`,
		`forwards_sent{class="sign"} 2`,
		`flows_answered{class="sign",answer="served"} 1`,
		`flows_answered{class="sign",answer="failed"} 0`,
		`forwards_ended{class="sign",end="ok"} 0`,
		`forwards_ended{class="sign",end="broken"} 1`,
	}
	if got := lines[max(0, len(lines)-len(want)):]; !slices.Equal(got, want) {
		t.Errorf("got the last lines\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestTotalCountsAnswersOfAllClasses(t *testing.T) {
	count := New([]string{"read", "sign"}, []string{"served", "failed"}, nil)
	for range 3 {
		count.RequestAnswered(0, 0)
	}
	count.RequestAnswered(0, 1)
	count.RequestAnswered(1, 1)
	if answers, failed := count.Total(1); answers != 5 || failed != 2 {
		t.Errorf("got %d answers and %d failed, want 5 and 2", answers, failed)
	}
}
