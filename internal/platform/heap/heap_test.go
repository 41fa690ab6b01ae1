package heap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type element struct{ key, number, at int }

func (t *element) SetIndex(at int) { t.at = at }

// TestHeapMatchesModel checks random sequences of Push, Remove, Pop and Keep against a sorted list, and the index that each element was told.
func TestHeapMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[int, *element]
		var in []*element
		compare := func(a, b *element) int {
			if a.key != b.key {
				return a.key - b.key
			}
			return a.number - b.number
		}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch operation := rapid.IntRange(0, 9).Draw(t, "what"); {
			case operation < 6 || len(in) == 0:
				x := &element{rapid.IntRange(0, 9).Draw(t, "key"), n, NotInHeap}
				h.Push(x.key, x)
				in = append(in, x)
			case operation < 8:
				i := rapid.IntRange(0, len(in)-1).Draw(t, "which")
				h.Remove(in[i].at)
				if in[i].at != NotInHeap {
					t.Fatal("a removed element was not told the index NotInHeap")
				}
				in = slices.Delete(in, i, i+1)
			case operation == 8:
				slices.SortFunc(in, compare)
				if key, x := h.Pop(); x != in[0] || key != x.key {
					t.Fatalf("popped %+v, want %+v", x, in[0])
				}
				in = in[1:]
			default:
				odd := func(x *element) bool { return x.number%2 == 1 }
				h.Keep(odd)
				in = slices.DeleteFunc(in, func(x *element) bool { return !odd(x) })
			}
			if h.Len() != len(in) {
				t.Fatalf("%d elements, want %d", h.Len(), len(in))
			}
			for _, x := range in {
				if h.entries[x.at].element != x {
					t.Fatalf("%+v is not at the index that it was told", x)
				}
			}
		}
		slices.SortFunc(in, compare)
		for _, want := range in {
			if _, x := h.Pop(); x != want {
				t.Fatalf("popped %+v, want %+v", x, want)
			}
		}
	})
}
