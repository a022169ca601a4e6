package policy_test

import (
	"fmt"
	"time"

	"shelfproxy/internal/policy"
)

func Example() {
	r, err := policy.New(policy.Settings{
		Nodes: 1, OriginKind: "origin", MaxAttempts: 3, OverloadFactor: 3, MaxRetryAfter: time.Second,
		Classes: []policy.Class{{Name: "read", PriorityWeight: 1, LatencyObjective: time.Second}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(now policy.Time, ev policy.Event) {
		for _, a := range r.Handle(now, ev) {
			if _, timer := a.(policy.SetTimer); !timer {
				fmt.Printf("%T %+v\n", a, a)
			}
		}
	}
	now := time.Minute
	show(now, policy.EndpointUpdate{Scope: policy.FullUpdate, Servers: []policy.Server{
		{ID: "cache-1", Kind: "cache"}, {ID: "ledger", Kind: "origin"}}})
	// The cache server answers this read.
	show(now, policy.Request{ID: 1, Key: "item/1", Class: "read", Deadline: now + time.Second})
	show(now, policy.Outcome{ID: 1, Reason: policy.Succeeded, Took: time.Millisecond, Ended: true})
	// The cache server does not hold the key of this read, so the read goes on to the origin.
	show(now, policy.Request{ID: 2, Key: "item/2", Class: "read", Deadline: now + time.Second})
	show(now, policy.Outcome{ID: 2, Reason: policy.Miss, Took: time.Millisecond})
	// This list is empty. The next request is rejected, because no server is listed any more.
	show(now, policy.EndpointUpdate{Scope: policy.FullUpdate})
	show(now, policy.Request{ID: 3, Key: "item/3", Class: "read", Deadline: now + time.Second})
	// Output:
	// policy.Send {ID:1 Server:cache-1 WriteBy:0s}
	// policy.Send {ID:2 Server:cache-1 WriteBy:0s}
	// policy.Send {ID:2 Server:ledger WriteBy:0s}
	// policy.Reject {ID:3 RetryAfter:1s Cause:no_server}
}
