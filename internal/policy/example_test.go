package policy_test

import (
	"fmt"
	"time"

	"shelfproxy/internal/policy"
)

func Example() {
	r, err := policy.New(policy.Settings{
		Routers: 1, OriginKind: "origin", MaxAttempts: 3, FallFactor: 3, MaxRetryAfter: time.Second,
		Classes: []policy.Class{{Name: "read", Worth: 1, Aim: time.Second}},
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
	show(now, policy.List{Scope: policy.Full, Servers: []policy.Server{
		{ID: "cache-1", Kind: "cache"}, {ID: "ledger", Kind: "origin"}}})
	// A request served.
	show(now, policy.Request{ID: 1, Key: "item/1", Class: "read", Deadline: now + time.Second})
	show(now, policy.Outcome{ID: 1, Reason: policy.OK, Took: time.Millisecond, Ended: true})
	// A miss fetched.
	show(now, policy.Request{ID: 2, Key: "item/2", Class: "read", Deadline: now + time.Second})
	show(now, policy.Outcome{ID: 2, Reason: policy.Miss, Took: time.Millisecond})
	// A refusal: no server is left.
	show(now, policy.List{Scope: policy.Full})
	show(now, policy.Request{ID: 3, Key: "item/3", Class: "read", Deadline: now + time.Second})
	// Output:
	// policy.Send {ID:1 Server:cache-1 By:0s}
	// policy.Send {ID:2 Server:cache-1 By:0s}
	// policy.Send {ID:2 Server:ledger By:0s}
	// policy.Refuse {ID:3 RetryAfter:1s}
}
