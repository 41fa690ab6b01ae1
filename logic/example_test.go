package logic_test

import (
	"fmt"

	"sloehitch/logic"
)

// A server with two cores and one class of reads takes a request, runs it and learns that it is done.
func Example() {
	settings := logic.Settings{
		Classes: []logic.Class{{Name: "read", Aim: 500_000, Deadline: 2_000_000, Worth: 1}},
		Servers: 1, Cores: 2, MemoryKB: 100_000, RunFactor: 8,
		CrowdFactor: 4, CrowdSpan: 1_000_000, AnswerGrace: 50_000, Tick: 1_000,
	}
	server, err := logic.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	arrival := logic.Event{Kind: logic.EvArrival, ID: 7,
		Arrival: logic.Arrival{Class: 0, Tenant: -1, KB: 20, Wait: 2_000_000}}
	for _, a := range server.Step(1_000_000, []logic.Event{arrival}) {
		switch a.Kind {
		case logic.ActRun:
			fmt.Println("run", a.ID)
		case logic.ActTimer:
			fmt.Println("wake after", a.Span)
		}
	}
	done := logic.Event{Kind: logic.EvDone, ID: 7, Outcome: logic.OK, Elapsed: 80_000}
	fmt.Println(len(server.Step(1_080_000, []logic.Event{done})), "actions once all is done")
	// Output:
	// run 7
	// wake after 8000
	// 0 actions once all is done
}
