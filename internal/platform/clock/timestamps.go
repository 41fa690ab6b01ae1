package clock

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Timestamps turns time stamps of the wall clock into instants of steady time. It knows the offset of the wall clock from steady time now and before each
// step that it has observed. A stamp is read by the offset that makes it the most recent: whoever stamped a message may have done so just
// before a step, or by a clock that was not stepped at all.
//
// Its methods may be called from any goroutine.
type Timestamps struct {
	maxAhead, maxBehind time.Duration
	now                 func() (steady, wall time.Time)

	mu             sync.Mutex
	offsets        []time.Duration // of the wall clock from steady time, the present one first
	rejectedOffset time.Duration   // the offset by which the last stamp out of bounds would be from now
	haveRejected   bool            // there was such a stamp
}

const (
	// minStep is the least change of the offset that counts as a step; a smaller one is slewing.
	minStep = 100 * time.Millisecond
	// stampRounding is how far in the future a correct stamp may lie: it is rounded, and read on another core.
	stampRounding = 50 * time.Millisecond
	// maxOffsets bounds the offsets that are remembered.
	maxOffsets = 8
	// sameClockTolerance is how far apart two observed offsets of one clock may be.
	sameClockTolerance = time.Second
)

// NewTimestamps returns a reader of stamps that accepts those up to ahead in the future and behind in the past, by any offset that it knows.
// wrong, if not nil, returns an error to add to the wall clock: tests step it so.
func NewTimestamps(ahead, behind time.Duration, wrong func() time.Duration) *Timestamps {
	return &Timestamps{maxAhead: ahead, maxBehind: behind, now: func() (steady, wall time.Time) {
		read := time.Now()
		wall = read.Round(0)
		if wrong != nil {
			wall = wall.Add(wrong())
		}
		return steadyAt(read), wall
	}}
}

// Instant returns when a stamp was made. It errs on a stamp that is out of bounds by every known offset. Where the next such stamp agrees with the last
// one, their clock is taken to be right, and its offset is known from then on.
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
		return time.Time{}, fmt.Errorf("a time stamp %v from now", stamp.Sub(wall))
	}
	s.addOffset(offset)
	return steady, nil
}

// ageOf returns the least age of a stamp by any offset; one in the future only where no offset has it in the past.
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

// preferable reports whether an age is preferred to another: the lesser one is, unless it lies in the future.
func preferable(age, other time.Duration) bool {
	if past, otherPast := age >= -stampRounding, other >= -stampRounding; past != otherPast {
		return past
	}
	return age.Abs() < other.Abs()
}

// observeOffset records the present offset.
func (s *Timestamps) observeOffset(offset time.Duration) {
	if len(s.offsets) > 0 && (offset-s.offsets[0]).Abs() < minStep {
		s.offsets[0] = offset
		return
	}
	s.offsets = slices.DeleteFunc(s.offsets, func(o time.Duration) bool { return (offset - o).Abs() < minStep })
	s.offsets = slices.Insert(s.offsets, 0, offset)
	s.offsets = s.offsets[:min(len(s.offsets), maxOffsets)]
}

// addOffset records the offset of a peer's clock. The present one stays first.
func (s *Timestamps) addOffset(offset time.Duration) {
	s.offsets = slices.Insert(s.offsets, 1, offset)
	s.offsets = s.offsets[:min(len(s.offsets), maxOffsets)]
}
