package canary

// How a node is compared with its peers.
//
// For an updated node and a metric, in each interval i in which the values of the node and of at least one peer
// are known,
//
//	difference(i) = value of the node - mean of its peers' values
//
// Peers are the other nodes of its zone that are not updated in i. Intervals that ended before the node's update
// are "before", those from UpdatedFrom on are "after". The interval of the update itself is neither.

// pairedDifferences returns the differences of a node from its peers, before and after its update.
func pairedDifferences(m metric, n NodeSeries, nodes []NodeSeries) (before, after []float64) {
	for i, interval := range n.Intervals {
		if !n.Known[i] {
			continue
		}
		own, known := m.value(interval)
		if !known {
			continue
		}
		peers, known := peerMean(m, n, nodes, i)
		switch {
		case !known:
		case n.updatedIn(i):
			after = append(after, own-peers)
		case n.unchangedIn(i):
			before = append(before, own-peers)
		}
	}
	return before, after
}

// peerMean returns the mean value of a node's peers in interval i, and whether any peer has a value.
func peerMean(m metric, n NodeSeries, nodes []NodeSeries, i int) (value float64, known bool) {
	sum, count := 0.0, 0
	for _, peer := range nodes {
		if peer.Name == n.Name || peer.Zone != n.Zone || i >= len(peer.Intervals) || !peer.Known[i] || !peer.unchangedIn(i) {
			continue
		}
		if v, known := m.value(peer.Intervals[i]); known {
			sum, count = sum+v, count+1
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}
