package keystate

import (
	"testing"

	"pgregory.net/rapid"

	"sloehitch/internal/idempotency/keystore/format"
)

// TestResultIsIndependentOfReadOrder checks that the table does not depend on how the records of several processes
// are interleaved when they are read: it arrives at the state given by the order in which they were written.
func TestResultIsIndependentOfReadOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes, keys = 3, 3
		holder := map[byte]int{} // holder of each key
		unread := map[int][]format.Record{}
		want := map[byte]format.Record{}
		for seq := uint64(1); seq <= uint64(rapid.IntRange(1, 30).Draw(t, "records")); seq++ {
			key := byte(rapid.IntRange(1, keys).Draw(t, "key"))
			r := format.Record{Seq: seq, ID: format.ID{key}, ExpiresAt: 10}
			owner, held := holder[key]
			switch {
			case !held:
				owner = rapid.IntRange(1, processes).Draw(t, "owner")
				holder[key], r.Kind = owner, format.KindStarted
			case want[key].Kind == format.KindEnded:
				continue
			case rapid.Bool().Draw(t, "withdrawn"):
				delete(holder, key)
				r.Kind = format.KindWithdrawn
			default:
				r.Kind = format.KindEnded
			}
			want[key] = r
			unread[owner] = append(unread[owner], r)
		}
		table := New()
		for len(unread) > 0 {
			owner := rapid.SampledFrom(sortedKeys(unread)).Draw(t, "read")
			table.Apply(owner, unread[owner][0], Location{Segment: owner})
			if unread[owner] = unread[owner][1:]; len(unread[owner]) == 0 {
				delete(unread, owner)
			}
		}
		for key, r := range want {
			c, ok := table.Lookup(format.ID{key}, 10)
			if ok != (r.Kind != format.KindWithdrawn) || ok && (c.Kind != r.Kind || c.Owner != holder[key]) {
				t.Fatalf("key %d: %+v %v, want %+v by %d", key, c, ok, r, holder[key])
			}
			if _, ok := table.Lookup(format.ID{key}, 11); ok {
				t.Fatalf("key %d is held after its expiry", key)
			}
		}
		for segment := range processes + 1 {
			table.ForgetSegment(segment)
		}
		if table.Len() != 0 {
			t.Fatalf("%d keys remain after all segments were forgotten", table.Len())
		}
	})
}

func sortedKeys(m map[int][]format.Record) (keys []int) {
	for k := range 4 {
		if len(m[k]) > 0 {
			keys = append(keys, k)
		}
	}
	return keys
}
