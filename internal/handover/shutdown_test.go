package handover

import (
	"testing"
	"time"
)

// TestPlanShutdown checks the shutdown plan for each kind of conditions.
func TestPlanShutdown(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name string
		in   ShutdownConditions
		want ShutdownPlan
	}{
		{"inherited listener, one other process", ShutdownConditions{InheritedListener: true, OtherProcesses: 1, DrainGrace: 2 * s, StopTimeout: 3 * s}, ShutdownPlan{KeepAdvertised: true}},
		{"inherited listener, two other processes", ShutdownConditions{InheritedListener: true, OtherProcesses: 2, DrainGrace: 2 * s, StopTimeout: 3 * s}, ShutdownPlan{KeepAdvertised: true}},
		{"inherited listener, no other process", ShutdownConditions{InheritedListener: true, DrainGrace: s, StopTimeout: 3 * s}, ShutdownPlan{CloseListenerAfter: s}},
		{"own listener, from which the other process can't accept", ShutdownConditions{OtherProcesses: 1, DrainGrace: s, StopTimeout: 3 * s}, ShutdownPlan{CloseListenerAfter: s}},
		{"closes a safety margin before the end of the grace period", ShutdownConditions{DrainGrace: 2 * s, SafetyMargin: s / 2, StopTimeout: 9 * s}, ShutdownPlan{CloseListenerAfter: 3 * s / 2}},
		{"closes after half of a short stop timeout", ShutdownConditions{DrainGrace: 2 * s, StopTimeout: s}, ShutdownPlan{CloseListenerAfter: s / 2}},
		{"no grace period", ShutdownConditions{SafetyMargin: s, StopTimeout: s}, ShutdownPlan{}},
	} {
		if got := PlanShutdown(c.in); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
