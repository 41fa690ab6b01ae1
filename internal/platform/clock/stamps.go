package clock

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Timestamps turns time stamps of the wall clock into instants of steady time. It knows by how much the wall clock was ahead of steady time
// before each step that it has seen. A stamp is read by the offset that makes it the most recent: whoever stamped a message may have done so
// just before a step, or by a clock that was not stepped at all.
//
// Its methods may be called from any goroutine.
type Timestamps struct {
	ahead, behind time.Duration
	now           func() (steady, wall time.Time)

	mu      sync.Mutex
	offsets []time.Duration // of the wall clock, the present one first
	strange time.Duration   // the offset by which the last stamp out of bounds would be of now
	seen    bool            // there was one
}

const (
	// stepLeast is the least change of the offset that is a step. Less is the wall clock being slewed.
	stepLeast = 100 * time.Millisecond
	// stampRounding is by how much a right stamp may lie ahead: it is rounded, and read on another core.
	stampRounding = 50 * time.Millisecond
	// offsetsMost bounds the offsets that are known.
	offsetsMost = 8
	// sameClock is how far apart two offsets of one clock may be seen.
	sameClock = time.Second
)

// NewTimestamps returns a reader of stamps that takes those up to ahead in the future and behind in the past, by some offset that it knows.
// wrong, if not nil, is by how much the wall clock is to be seen as wrong: a rig steps it so.
func NewTimestamps(ahead, behind time.Duration, wrong func() time.Duration) *Timestamps {
	return &Timestamps{ahead: ahead, behind: behind, now: func() (steady, wall time.Time) {
		read := time.Now()
		wall = read.Round(0)
		if wrong != nil {
			wall = wall.Add(wrong())
		}
		return steadyAt(read), wall
	}}
}

// Instant is when a stamp was made. It errs on one that is out of bounds by every offset known. Where the next such stamp
// agrees with the last, their clock is taken for right and its offset is known from then on.
func (s *Timestamps) Instant(stamp time.Time) (time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	steady, wall := s.now()
	s.observe(wall.Sub(steady))
	if age, known := s.age(stamp, steady); known {
		return steady.Add(-age), nil
	}
	offset := stamp.Sub(steady)
	agrees := s.seen && (offset-s.strange).Abs() < sameClock
	s.strange, s.seen = offset, true
	if !agrees {
		return time.Time{}, fmt.Errorf("a time stamp %v from now", stamp.Sub(wall))
	}
	s.learn(offset)
	return steady, nil
}

// age is the least age that a stamp has by any offset; one in the future only where no offset has it in the past.
func (s *Timestamps) age(stamp, steady time.Time) (least time.Duration, known bool) {
	for _, offset := range s.offsets {
		age := steady.Add(offset).Sub(stamp)
		if age < -s.ahead || age > s.behind {
			continue
		}
		if !known || younger(age, least) {
			least, known = age, true
		}
	}
	return least, known
}

// younger says whether an age is to be preferred to another: it is less, unless it lies in the future.
func younger(age, other time.Duration) bool {
	if past, otherPast := age >= -stampRounding, other >= -stampRounding; past != otherPast {
		return past
	}
	return age.Abs() < other.Abs()
}

// observe takes in the present offset.
func (s *Timestamps) observe(offset time.Duration) {
	if len(s.offsets) > 0 && (offset-s.offsets[0]).Abs() < stepLeast {
		s.offsets[0] = offset
		return
	}
	s.offsets = slices.DeleteFunc(s.offsets, func(o time.Duration) bool { return (offset - o).Abs() < stepLeast })
	s.offsets = slices.Insert(s.offsets, 0, offset)
	s.offsets = s.offsets[:min(len(s.offsets), offsetsMost)]
}

// learn adds the offset of another's clock. The present one stays first.
func (s *Timestamps) learn(offset time.Duration) {
	s.offsets = slices.Insert(s.offsets, 1, offset)
	s.offsets = s.offsets[:min(len(s.offsets), offsetsMost)]
}
