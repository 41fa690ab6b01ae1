package handover

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestComputeQuota checks the quota of a process for given work in flight of all processes.
func TestComputeQuota(t *testing.T) {
	for _, c := range []struct {
		name   string
		own    Load
		others []Load
		want   Quota
	}{
		{"only process", Load{Running: 30, Connections: 90}, nil, Quota{1, 1, 100}},
		{"new process beside a busy one", Load{}, []Load{{Running: 26, Queued: 13, Connections: 80}}, Quota{minCPUFraction, 0.5, 20}},
		{"busy process beside a new one", Load{Running: 26, Queued: 13, Connections: 80}, []Load{{}}, Quota{1 - minCPUFraction, 0.5, 100}},
		{"equal work in flight", Load{Running: 5, Queued: 4}, []Load{{Running: 9}}, Quota{0.5, 0.5, 100}},
		{"other process holds all connections", Load{}, []Load{{Connections: 100}}, Quota{0.5, 0.5, 12}},
		{"one of three processes", Load{Running: 1}, []Load{{Running: 2}, {}}, Quota{2.0 / 6, 1.0 / 3, 100}},
	} {
		if got := ComputeQuota(c.own, c.others, 100); math.Abs(got.CPUFraction-c.want.CPUFraction) > 1e-9 || got.MemoryFraction != c.want.MemoryFraction || got.Connections != c.want.Connections {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestCPUFractionsAddUpToOne checks that the CPU fractions of two processes add up to 1, that none is below the
// minimum, and that the process with more work in flight has no smaller fraction.
func TestCPUFractionsAddUpToOne(t *testing.T) {
	load := rapid.Custom(func(t *rapid.T) Load {
		return Load{Running: rapid.IntRange(0, 500).Draw(t, "running"), Queued: rapid.IntRange(0, 500).Draw(t, "queued")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := load.Draw(t, "a"), load.Draw(t, "b")
		for _, l := range []Load{a, b} {
			if got, ok := ParseLoad(l.Encode()); !ok || got != l {
				t.Fatalf("load %+v was decoded as %+v", l, got)
			}
		}
		x, y := ComputeQuota(a, []Load{b}, 10).CPUFraction, ComputeQuota(b, []Load{a}, 10).CPUFraction
		if math.Abs(x+y-1) > 1e-9 || x < minCPUFraction || y < minCPUFraction || (a.Running+a.Queued > b.Running+b.Queued) && x < y {
			t.Fatalf("load %+v has CPU fraction %v, load %+v has %v", a, x, b, y)
		}
	})
}
