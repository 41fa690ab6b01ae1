package clock

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Timestamps converts wall clock time stamps to instants of steady time. It records the current offset of the wall clock from
// steady time and those before each step that it has observed. A stamp is interpreted with the offset that makes it the most
// recent, because the sender may have made it just before a step, or with a clock that was not stepped at all.
//
// It is safe for concurrent use.
type Timestamps struct {
	maxAhead, maxBehind time.Duration
	now                 func() (steady, wall time.Time)

	mu             sync.Mutex
	offsets        []time.Duration // of the wall clock from steady time, the current one first
	rejectedOffset time.Duration   // the clock offset implied by the last rejected stamp if it was made just now
	haveRejected   bool            // a stamp was rejected
}

const (
	// minStep is the smallest change of the offset that counts as a step; smaller changes are slewing.
	minStep = 100 * time.Millisecond
	// stampRounding is how far in the future a correct stamp may lie, since it is rounded and the clock is read on another core.
	stampRounding = 50 * time.Millisecond
	// maxOffsets bounds the number of recorded offsets.
	maxOffsets = 8
	// sameClockTolerance is the largest difference between two observed offsets of the same clock.
	sameClockTolerance = time.Second
)

// NewTimestamps returns a converter that accepts stamps up to ahead in the future and behind in the past by any recorded offset.
// wallOffset, if not nil, returns an offset to add to the wall clock, so that tests can step it.
func NewTimestamps(ahead, behind time.Duration, wallOffset func() time.Duration) *Timestamps {
	return &Timestamps{maxAhead: ahead, maxBehind: behind, now: func() (steady, wall time.Time) {
		read := time.Now()
		wall = read.Round(0)
		if wallOffset != nil {
			wall = wall.Add(wallOffset())
		}
		return steadyAt(read), wall
	}}
}

// SetMaxBehind sets how far in the past a stamp may lie, for the stamps that are converted from now on.
func (s *Timestamps) SetMaxBehind(behind time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxBehind = behind
}

// Instant returns when a stamp was made. It returns an error if the stamp is out of bounds by every recorded offset. If the next
// rejected stamp implies the same offset as the last one, their clock is assumed to be correct and its offset is recorded.
func (s *Timestamps) Instant(stamp time.Time) (time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	steady, wall := s.now()
	s.observeOffset(wall.Sub(steady))
	if age, known := s.ageOf(stamp, steady); known {
		return steady.Add(-age), nil
	}
	offset := stamp.Sub(steady)
	agrees := s.haveRejected && (offset-s.rejectedOffset).Abs() < sameClockTolerance
	s.rejectedOffset, s.haveRejected = offset, true
	if !agrees {
		return time.Time{}, fmt.Errorf("time stamp out of bounds: %v from the wall clock", stamp.Sub(wall))
	}
	s.addOffset(offset)
	return steady, nil
}

// ageOf returns the smallest age of a stamp by any offset. It returns an age in the future only if no offset puts the stamp in the past.
func (s *Timestamps) ageOf(stamp, steady time.Time) (least time.Duration, known bool) {
	for _, offset := range s.offsets {
		age := steady.Add(offset).Sub(stamp)
		if age < -s.maxAhead || age > s.maxBehind {
			continue
		}
		if !known || preferable(age, least) {
			least, known = age, true
		}
	}
	return least, known
}

// preferable reports whether age is preferred to other: the smaller one is, unless it lies in the future.
func preferable(age, other time.Duration) bool {
	if past, otherPast := age >= -stampRounding, other >= -stampRounding; past != otherPast {
		return past
	}
	return age.Abs() < other.Abs()
}

// observeOffset records the current offset of the wall clock.
func (s *Timestamps) observeOffset(offset time.Duration) {
	if len(s.offsets) > 0 && (offset-s.offsets[0]).Abs() < minStep {
		s.offsets[0] = offset
		return
	}
	s.offsets = slices.DeleteFunc(s.offsets, func(o time.Duration) bool { return (offset - o).Abs() < minStep })
	s.offsets = slices.Insert(s.offsets, 0, offset)
	s.offsets = s.offsets[:min(len(s.offsets), maxOffsets)]
}

// addOffset records the offset of a peer's clock. The current offset stays first.
func (s *Timestamps) addOffset(offset time.Duration) {
	s.offsets = slices.Insert(s.offsets, 1, offset)
	s.offsets = s.offsets[:min(len(s.offsets), maxOffsets)]
}
