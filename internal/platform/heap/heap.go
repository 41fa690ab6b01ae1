// Package heap implements a priority queue: a binary heap ordered by key, and by insertion among equal keys. Elements are told
// their index, so that any of them can be removed. Unlike container/heap it stores the keys in the heap itself, so that the
// comparisons, which are nearly all of its work, follow no pointers and call no functions.
package heap

import "cmp"

// Element is an element of a heap, usually a pointer.
type Element interface {
	SetIndex(at int) // sets the element's index in the heap, or NotInHeap after its removal
}

// NotInHeap is the index of an element that is in no heap.
const NotInHeap = -1

// Heap is a priority queue of elements. Its zero value is an empty heap. It is not safe for concurrent use.
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

// Len returns the number of elements.
func (h *Heap[K, E]) Len() int { return len(h.all) }

// First returns the element with the smallest key, and that key. The heap must not be empty.
func (h *Heap[K, E]) First() (K, E) { return h.all[0].key, h.all[0].element }

// Push adds an element after those with the same key.
func (h *Heap[K, E]) Push(key K, e E) {
	h.pushed++
	h.all = append(h.all, entry[K, E]{key, h.pushed, e})
	h.up(len(h.all) - 1)
}

// Pop removes the first element and returns it with its key. The heap must not be empty.
func (h *Heap[K, E]) Pop() (K, E) {
	key, e := h.First()
	h.Remove(0)
	return key, e
}

// Remove removes the element at an index.
func (h *Heap[K, E]) Remove(at int) {
	out := h.all[at].element
	last := len(h.all) - 1
	moved := h.all[last]
	h.all[last] = entry[K, E]{}
	if h.all = h.all[:last]; at < last {
		h.all[at] = moved
		h.down(at)
		h.up(at) // at most one of the two moves it
	}
	out.SetIndex(NotInHeap)
}

// Keep removes all elements for which keep returns false, in one pass.
func (h *Heap[K, E]) Keep(keep func(E) bool) {
	kept := h.all[:0]
	for _, x := range h.all {
		if keep(x.element) {
			kept = append(kept, x)
		} else {
			x.element.SetIndex(NotInHeap)
		}
	}
	clear(h.all[len(kept):])
	h.all = kept
	for i := len(kept) - 1; i >= 0; i-- {
		h.down(i)
	}
}

// up moves the entry at an index towards the root to its position.
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

// down moves the entry at an index away from the root to its position.
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
	x.element.SetIndex(at)
}
