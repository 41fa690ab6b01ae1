package ledger

import (
	"slices"

	"github.com/tidwall/btree"
)

// Expiry: a key is gone once the store's clock mark, which never steps back, has reached its expiry. Readers check that, so
// removing expired keys from the index only frees memory.

// sweepChunk is how many keys change under one hold of the lock, so that no reader or writer waits long.
const sweepChunk = 64

// expired reports whether a record has expired by the store's clock, in Unix milliseconds.
func expired(p location, mark int64) bool { return p.expiryMillis != 0 && p.expiryMillis <= mark }

// RemoveExpired removes expired keys from memory. Readers don't see them before that either. It holds up readers and writers only
// for short moments.
func (s *Store) RemoveExpired() {
	s.mu.Lock()
	if s.nextExpiry == 0 || s.nextExpiry > s.clockMark {
		s.mu.Unlock()
		return
	}
	index, mark := s.index.Copy(), s.clockMark
	s.nextExpiry = 0
	s.mu.Unlock()
	keys, nextExpiry := findExpired(index, mark)
	for chunk := range slices.Chunk(keys, sweepChunk) {
		s.removeExpired(chunk)
	}
	s.mu.Lock()
	if nextExpiry != 0 && (s.nextExpiry == 0 || nextExpiry < s.nextExpiry) {
		s.nextExpiry = nextExpiry
	}
	s.mu.Unlock()
}

// expiredKey is a key with the sequence number of its expired record.
type expiredKey struct {
	key      string
	sequence uint64
}

// findExpired returns the expired keys, and the earliest expiry of the others, 0 if none expires.
func findExpired(index *btree.Map[string, location], clockMark int64) (keys []expiredKey, nextExpiry int64) {
	index.Scan(func(key string, p location) bool {
		switch {
		case expired(p, clockMark):
			keys = append(keys, expiredKey{key, p.sequence})
		case p.expiryMillis != 0 && (nextExpiry == 0 || p.expiryMillis < nextExpiry):
			nextExpiry = p.expiryMillis
		}
		return true
	})
	return keys, nextExpiry
}

// removeExpired removes keys from the index that were not written again meanwhile.
func (s *Store) removeExpired(keys []expiredKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		if p, ok := s.index.Get(k.key); ok && p.sequence == k.sequence {
			s.index.Delete(k.key)
			s.indexBytes -= indexCost(len(k.key))
			s.liveBytes -= int64(p.size)
			p.seg.tombstoneBytes += int64(p.size)
		}
	}
}
