package release

import (
	"fmt"
	"testing"

	"sloehitch/internal/control/fleetstate"
)

func TestPlanWavesGrowZoneByZone(t *testing.T) {
	var nodes []fleetstate.ObservedMember
	for i := range 9 {
		nodes = append(nodes, newNode(fmt.Sprint("n", i), string(rune('a'+i%2))))
	}
	nodes[3].Report.DeployedVersion = "v2"
	nodes[5].Report.DeployedVersion = ""
	waves, previous := PlanWaves(nodes, "v2", 2)
	if got := fmt.Sprint(waves); got != "[[n0] [n2 n4] [n6 n8] [n1 n5] [n7]]" {
		t.Errorf("waves %s, want [[n0] [n2 n4] [n6 n8] [n1 n5] [n7]]", got)
	}
	if previous["n0"] != "v1" || previous["n5"] != "" || len(previous) != 7 {
		t.Errorf("previous versions %v, want v1 for n0, none for n5, and 7 in all", previous)
	}
}
