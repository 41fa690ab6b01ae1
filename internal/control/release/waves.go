package release

import (
	"maps"
	"slices"

	"sloehitch/internal/control/fleetstate"
)

// How the nodes are divided into waves.
//
// Inputs: the nodes with their zones, and a growth factor. Zones are updated one after the other, sorted by
// name, and so are the nodes within a zone. The first wave of the first zone has one node, that of each further
// zone max(1, growth) nodes. Each following wave is larger by the factor, and by at least one node.
//
// Why: the first node shows with the least risk whether the version works at all. While one zone is updated, the
// others serve.

// PlanWaves returns the waves of a release to the target version, and the version that each node reports now.
// It omits upstream servers, and nodes that already report the target version.
func PlanWaves(members []fleetstate.ObservedMember, targetVersion string, growth float64) (waves [][]string, previousVersions map[string]string) {
	zones := map[string][]string{}
	previousVersions = map[string]string{}
	for _, m := range members {
		if m.Service != "" || m.Report.DeployedVersion == targetVersion && !m.Unreadable {
			continue
		}
		zones[m.Report.Zone] = append(zones[m.Report.Zone], m.Name)
		if !m.Unreadable && m.Report.DeployedVersion != "" {
			previousVersions[m.Name] = m.Report.DeployedVersion
		}
	}
	for i, zone := range slices.Sorted(maps.Keys(zones)) {
		firstWave := 1.0
		if i > 0 {
			firstWave = max(1, growth)
		}
		nodes := zones[zone]
		slices.Sort(nodes)
		waves = append(waves, zoneWaves(nodes, firstWave, growth)...)
	}
	return waves, previousVersions
}

// zoneWaves divides the nodes of one zone into waves that grow from the given size.
func zoneWaves(nodes []string, size, growth float64) (waves [][]string) {
	for len(nodes) > 0 {
		n := min(len(nodes), int(size))
		waves = append(waves, nodes[:n:n])
		nodes = nodes[n:]
		size = max(size*growth, size+1)
	}
	return waves
}
