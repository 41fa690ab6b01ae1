package handover

import (
	"testing"
	"time"
)

// TestPlanShutdown: how a process shuts down, by what it sees.
func TestPlanShutdown(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name string
		in   ShutdownConditions
		want ShutdownPlan
	}{
		{"replaced", ShutdownConditions{InheritedListener: true, OtherProcesses: 1, DrainGrace: 2 * s, StopTimeout: 3 * s}, ShutdownPlan{KeepAdvertised: true}},
		{"two others", ShutdownConditions{InheritedListener: true, OtherProcesses: 2, DrainGrace: 2 * s, StopTimeout: 3 * s}, ShutdownPlan{KeepAdvertised: true}},
		{"inherited, but nobody takes over", ShutdownConditions{InheritedListener: true, DrainGrace: s, StopTimeout: 3 * s}, ShutdownPlan{CloseListenerAfter: s}},
		{"its own listener: another process can't hear its clients", ShutdownConditions{OtherProcesses: 1, DrainGrace: s, StopTimeout: 3 * s}, ShutdownPlan{CloseListenerAfter: s}},
		{"margin kept", ShutdownConditions{DrainGrace: 2 * s, SafetyMargin: s / 2, StopTimeout: 9 * s}, ShutdownPlan{CloseListenerAfter: 3 * s / 2}},
		{"little time", ShutdownConditions{DrainGrace: 2 * s, StopTimeout: s}, ShutdownPlan{CloseListenerAfter: s / 2}},
		{"no grace", ShutdownConditions{SafetyMargin: s, StopTimeout: s}, ShutdownPlan{}},
	} {
		if got := PlanShutdown(c.in); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
