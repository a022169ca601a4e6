package brain_test

import (
	"fmt"
	"time"

	"shelfproxy/brain"
)

func Example() {
	r, err := brain.New(brain.Settings{
		Routers: 1, OriginKind: "origin", MaxAttempts: 3, FallFactor: 3, MaxRetryAfter: time.Second,
		Classes: []brain.Class{{Name: "read", Worth: 1, Aim: time.Second}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(now brain.Time, ev brain.Event) {
		for _, a := range r.Handle(now, ev) {
			if _, timer := a.(brain.SetTimer); !timer {
				fmt.Printf("%T %+v\n", a, a)
			}
		}
	}
	now := time.Minute
	show(now, brain.List{Scope: brain.Full, Servers: []brain.Server{
		{ID: "cache-1", Kind: "cache"}, {ID: "ledger", Kind: "origin"}}})
	// A request served.
	show(now, brain.Request{ID: 1, Key: "item/1", Class: "read", Deadline: now + time.Second})
	show(now, brain.Outcome{ID: 1, Reason: brain.OK, Took: time.Millisecond, Ended: true})
	// A miss fetched.
	show(now, brain.Request{ID: 2, Key: "item/2", Class: "read", Deadline: now + time.Second})
	show(now, brain.Outcome{ID: 2, Reason: brain.Miss, Took: time.Millisecond})
	// A refusal: no server is left.
	show(now, brain.List{Scope: brain.Full})
	show(now, brain.Request{ID: 3, Key: "item/3", Class: "read", Deadline: now + time.Second})
	// Output:
	// brain.Send {ID:1 Server:cache-1 By:0s}
	// brain.Send {ID:2 Server:cache-1 By:0s}
	// brain.Send {ID:2 Server:ledger By:0s}
	// brain.Refuse {ID:3 RetryAfter:1s}
}
