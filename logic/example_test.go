package logic_test

import (
	"fmt"

	"sloehitch/logic"
)

// A server with two cores and one class of reads starts a request and handles the end of its run.
func Example() {
	settings := logic.Settings{
		Classes:   []logic.Class{{Name: "read", LatencyObjective: 500_000, ClientTimeout: 2_000_000, PriorityWeight: 1}},
		FleetSize: 1, Cores: 2, MemoryKB: 100_000, RunMemoryFactor: 8,
		MaxConcurrencyPerCore: 4, ConcurrencyWindow: 1_000_000, ResponseGrace: 50_000, StepInterval: 1_000,
	}
	server, err := logic.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	arrival := logic.Event{Kind: logic.EventArrival, ID: 7,
		Arrival: logic.Arrival{Class: 0, Tenant: -1, MemoryKB: 20, AttemptTimeout: 2_000_000}}
	for _, a := range server.Step(1_000_000, []logic.Event{arrival}) {
		switch a.Kind {
		case logic.ActionRun:
			fmt.Println("run", a.ID)
		case logic.ActionSetTimer:
			fmt.Println("wake after", a.Duration)
		}
	}
	done := logic.Event{Kind: logic.EventRunEnded, ID: 7, Outcome: logic.OutcomeOK, Elapsed: 80_000}
	fmt.Println(len(server.Step(1_080_000, []logic.Event{done})), "actions once all is done")
	// Output:
	// run 7
	// wake after 8000
	// 0 actions once all is done
}
