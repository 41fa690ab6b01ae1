package ledger

import (
	"slices"

	"github.com/tidwall/btree"
)

// A key has expired once the store's clock mark, which never steps back, reaches its expiry. Reads check this, so removing
// expired keys from the index only frees memory.

// sweepChunk is how many keys are removed each time the lock is taken, so that readers and writers do not wait long.
const sweepChunk = 64

// expired reports whether a record has expired by the given clock mark in Unix milliseconds.
func expired(p location, mark int64) bool { return p.expiryMillis != 0 && p.expiryMillis <= mark }

// RemoveExpired removes expired keys from the index in memory. Reads treat them as missing before that too. It blocks readers and
// writers only briefly at a time.
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

// findExpired returns the expired keys, and the earliest expiry of the other keys or 0 if none of them expires.
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

// removeExpired removes those of the keys from the index that have not been written again since they were found.
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
