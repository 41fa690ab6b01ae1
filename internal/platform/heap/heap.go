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
	entries    []entry[K, E]
	insertions uint64
}

type entry[K cmp.Ordered, E Element] struct {
	key      K
	sequence uint64
	element  E
}

func (a *entry[K, E]) before(b *entry[K, E]) bool {
	return a.key < b.key || a.key == b.key && a.sequence < b.sequence
}

// Len returns the number of elements.
func (h *Heap[K, E]) Len() int { return len(h.entries) }

// First returns the element with the smallest key, and that key. The heap must not be empty.
func (h *Heap[K, E]) First() (K, E) { return h.entries[0].key, h.entries[0].element }

// Push adds an element after those with the same key.
func (h *Heap[K, E]) Push(key K, e E) {
	h.insertions++
	h.entries = append(h.entries, entry[K, E]{key, h.insertions, e})
	h.up(len(h.entries) - 1)
}

// Pop removes the first element and returns it with its key. The heap must not be empty.
func (h *Heap[K, E]) Pop() (K, E) {
	key, e := h.First()
	h.Remove(0)
	return key, e
}

// Remove removes the element at an index.
func (h *Heap[K, E]) Remove(at int) {
	removed := h.entries[at].element
	last := len(h.entries) - 1
	moved := h.entries[last]
	h.entries[last] = entry[K, E]{}
	if h.entries = h.entries[:last]; at < last {
		h.entries[at] = moved
		h.down(at)
		h.up(at) // at most one of the two moves it
	}
	removed.SetIndex(NotInHeap)
}

// Keep removes all elements for which keep returns false, in one pass.
func (h *Heap[K, E]) Keep(keep func(E) bool) {
	kept := h.entries[:0]
	for _, x := range h.entries {
		if keep(x.element) {
			kept = append(kept, x)
		} else {
			x.element.SetIndex(NotInHeap)
		}
	}
	clear(h.entries[len(kept):])
	h.entries = kept
	for i := len(kept) - 1; i >= 0; i-- {
		h.down(i)
	}
}

// up moves the entry at an index towards the root to its position.
func (h *Heap[K, E]) up(at int) {
	x := h.entries[at]
	for at > 0 {
		parent := (at - 1) / 2
		if !x.before(&h.entries[parent]) {
			break
		}
		h.set(at, h.entries[parent])
		at = parent
	}
	h.set(at, x)
}

// down moves the entry at an index away from the root to its position.
func (h *Heap[K, E]) down(at int) {
	x := h.entries[at]
	for {
		child := 2*at + 1
		if child >= len(h.entries) {
			break
		}
		if right := child + 1; right < len(h.entries) && h.entries[right].before(&h.entries[child]) {
			child = right
		}
		if !h.entries[child].before(&x) {
			break
		}
		h.set(at, h.entries[child])
		at = child
	}
	h.set(at, x)
}

func (h *Heap[K, E]) set(at int, x entry[K, E]) {
	h.entries[at] = x
	x.element.SetIndex(at)
}
