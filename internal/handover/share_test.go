package handover

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestShare(t *testing.T) {
	for _, c := range []struct {
		name   string
		own    Load
		others []Load
		want   Means
	}{
		{"alone", Load{Running: 30, Connections: 90}, nil, Means{1, 1, 100}},
		{"new beside a busy one", Load{}, []Load{{Running: 26, Held: 13, Connections: 80}}, Means{least, 0.5, 20}},
		{"busy beside a new one", Load{Running: 26, Held: 13, Connections: 80}, []Load{{}}, Means{1 - least, 0.5, 100}},
		{"as much in hand", Load{Running: 5, Held: 4}, []Load{{Running: 9}}, Means{0.5, 0.5, 100}},
		{"the other holds all connections", Load{}, []Load{{Connections: 100}}, Means{0.5, 0.5, 12}},
		{"one of three", Load{Running: 1}, []Load{{Running: 2}, {}}, Means{2.0 / 6, 1.0 / 3, 100}},
	} {
		if got := Share(c.own, c.others, 100); math.Abs(got.Cores-c.want.Cores) > 1e-9 || got.Memory != c.want.Memory || got.Connections != c.want.Connections {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestShares: whatever two processes have in hand, their parts of the cores are together what there is, none is left
// with nothing, and who has more in hand has no less.
func TestShares(t *testing.T) {
	load := rapid.Custom(func(t *rapid.T) Load {
		return Load{Running: rapid.IntRange(0, 500).Draw(t, "running"), Held: rapid.IntRange(0, 500).Draw(t, "held")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := load.Draw(t, "a"), load.Draw(t, "b")
		for _, l := range []Load{a, b} {
			if got, ok := ParseLoad(l.Bytes()); !ok || got != l {
				t.Fatalf("%+v read as %+v", l, got)
			}
		}
		x, y := Share(a, []Load{b}, 10).Cores, Share(b, []Load{a}, 10).Cores
		if math.Abs(x+y-1) > 1e-9 || x < least || y < least || (a.Running+a.Held > b.Running+b.Held) && x < y {
			t.Fatalf("%+v has %v, %+v has %v", a, x, b, y)
		}
	})
}
