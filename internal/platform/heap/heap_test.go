package heap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type thing struct{ key, number, at int }

func (t *thing) SetIndex(at int) { t.at = at }

// TestModel checks random sequences of Push, Remove, Pop and Keep against a sorted list, and the index that each element was told.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[int, *thing]
		var in []*thing
		first := func(a, b *thing) int {
			if a.key != b.key {
				return a.key - b.key
			}
			return a.number - b.number
		}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 6 || len(in) == 0:
				x := &thing{rapid.IntRange(0, 9).Draw(t, "key"), n, NotInHeap}
				h.Push(x.key, x)
				in = append(in, x)
			case what < 8:
				i := rapid.IntRange(0, len(in)-1).Draw(t, "which")
				h.Remove(in[i].at)
				if in[i].at != NotInHeap {
					t.Fatal("a removed element was not told the index NotInHeap")
				}
				in = slices.Delete(in, i, i+1)
			case what == 8:
				slices.SortFunc(in, first)
				if key, x := h.Pop(); x != in[0] || key != x.key {
					t.Fatalf("popped %+v, want %+v", x, in[0])
				}
				in = in[1:]
			default:
				odd := func(x *thing) bool { return x.number%2 == 1 }
				h.Keep(odd)
				in = slices.DeleteFunc(in, func(x *thing) bool { return !odd(x) })
			}
			if h.Len() != len(in) {
				t.Fatalf("%d elements, want %d", h.Len(), len(in))
			}
			for _, x := range in {
				if h.all[x.at].element != x {
					t.Fatalf("%+v is not at the index that it was told", x)
				}
			}
		}
		slices.SortFunc(in, first)
		for _, want := range in {
			if _, x := h.Pop(); x != want {
				t.Fatalf("popped %+v, want %+v", x, want)
			}
		}
	})
}
