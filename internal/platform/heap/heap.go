// Package heap keeps elements of which the one with the least key is wanted, those of equal keys as they came, and that
// know their place, so that any of them can be taken out. It is a binary heap like container/heap's, with the keys beside
// one another in it: the comparisons that are nearly all of its work follow no pointer and call nothing.
package heap

import "cmp"

// Element is what a heap holds, by pointer.
type Element interface {
	Placed(at int) // told where it is now; Out: it is in none
}

// Out is the place of what is in no heap.
const Out = -1

// Heap holds elements by their keys. Its zero value is empty and ready. It is not safe for concurrent use.
type Heap[K cmp.Ordered, E Element] struct {
	all    []entry[K, E]
	pushed uint64
}

type entry[K cmp.Ordered, E Element] struct {
	key     K
	order   uint64
	element E
}

func (a *entry[K, E]) before(b *entry[K, E]) bool {
	return a.key < b.key || a.key == b.key && a.order < b.order
}

// Len is how many there are.
func (h *Heap[K, E]) Len() int { return len(h.all) }

// First is the one with the least key, and that key; there must be one.
func (h *Heap[K, E]) First() (K, E) { return h.all[0].key, h.all[0].element }

// Push puts an element in, after those of the same key.
func (h *Heap[K, E]) Push(key K, e E) {
	h.pushed++
	h.all = append(h.all, entry[K, E]{key, h.pushed, e})
	h.up(len(h.all) - 1)
}

// Pop takes the first out.
func (h *Heap[K, E]) Pop() (K, E) {
	key, e := h.First()
	h.Remove(0)
	return key, e
}

// Remove takes out the element that was told to be at a place.
func (h *Heap[K, E]) Remove(at int) {
	out := h.all[at].element
	last := len(h.all) - 1
	moved := h.all[last]
	h.all[last] = entry[K, E]{}
	if h.all = h.all[:last]; at < last {
		h.all[at] = moved
		h.down(at)
		h.up(at) // one of the two does nothing
	}
	out.Placed(Out)
}

// Keep takes out all that keep does not want, in one pass.
func (h *Heap[K, E]) Keep(keep func(E) bool) {
	kept := h.all[:0]
	for _, x := range h.all {
		if keep(x.element) {
			kept = append(kept, x)
		} else {
			x.element.Placed(Out)
		}
	}
	clear(h.all[len(kept):])
	h.all = kept
	for i := len(kept) - 1; i >= 0; i-- {
		h.down(i)
	}
}

// up moves what is at a place towards the first as far as it belongs.
func (h *Heap[K, E]) up(at int) {
	x := h.all[at]
	for at > 0 {
		parent := (at - 1) / 2
		if !x.before(&h.all[parent]) {
			break
		}
		h.put(at, h.all[parent])
		at = parent
	}
	h.put(at, x)
}

// down moves what is at a place away from the first as far as it belongs.
func (h *Heap[K, E]) down(at int) {
	x := h.all[at]
	for {
		child := 2*at + 1
		if child >= len(h.all) {
			break
		}
		if right := child + 1; right < len(h.all) && h.all[right].before(&h.all[child]) {
			child = right
		}
		if !h.all[child].before(&x) {
			break
		}
		h.put(at, h.all[child])
		at = child
	}
	h.put(at, x)
}

func (h *Heap[K, E]) put(at int, x entry[K, E]) {
	h.all[at] = x
	x.element.Placed(at)
}
