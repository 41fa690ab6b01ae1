package handover

import (
	"errors"
	"fmt"
	"math"
	"time"

	"sloehitch/logic"
)

// Requirements are what a snapshot must meet to be taken over by a process that starts.
type Requirements struct {
	Node         string
	Settings     logic.Settings
	Now          time.Time
	MaxAge       time.Duration
	MaxClockSkew time.Duration // by which a snapshot may be ahead of Now
}

// Validate reports whether a snapshot may be taken over; the error says why not. It may if it is of this node and
// these settings, its age is from -MaxClockSkew to MaxAge, and each value is one that a server can learn. One that
// was made under overload is taken over like any other: averages follow what the new server measures, and Discount
// limits what they count for.
func Validate(s Snapshot, r Requirements) error {
	switch age := r.Now.Sub(s.CreatedAt); {
	case s.Node != r.Node:
		return fmt.Errorf("%w: %s", ErrOtherNode, s.Node)
	case s.SettingsHash != HashSettings(r.Settings):
		return ErrOtherSettings
	case age > r.MaxAge:
		return fmt.Errorf("%w: %v, %v at most", ErrTooOld, age.Round(time.Millisecond), r.MaxAge)
	case age < -r.MaxClockSkew:
		return fmt.Errorf("%w (by %v)", ErrFromFuture, -age.Round(time.Millisecond))
	}
	return checkValues(s.LearnedState, r.Settings)
}

// maxTimeFactor bounds learned times, as a multiple of the longest timeout of any class.
const maxTimeFactor = 10

// checkValues guards against values that would keep a server from learning better ones.
func checkValues(l logic.LearnedState, s logic.Settings) error {
	maxTime := 0.0
	for _, c := range s.Classes {
		maxTime = max(maxTime, maxTimeFactor*float64(c.ClientTimeout))
	}
	errs := []error{
		checkRange("limit", l.RunLimit, max(1, s.MaxConcurrencyPerCore)*float64(s.Cores)),
		checkAverage("gap", l.CompletionGap, maxTime),
		checkAverage("call time", l.CallTime, maxTime),
		checkRange("least call time", l.MinCallTime, maxTime),
		checkAverage("refusing", l.RejectedShare, 1),
	}
	for _, v := range l.TimeoutHistogram {
		errs = append(errs, checkRange("told share", v, math.MaxInt32))
	}
	for name, e := range l.Classes {
		errs = append(errs,
			checkAverage(name, e.RunTime, maxTime),
			checkAverage(name, e.HintedRunTime, maxTime),
			checkAverage(name, e.Hint, math.MaxInt64),
			checkRange(name+" spread", e.HintVariance, math.MaxFloat64),
			checkRange(name+" covariance", math.Abs(e.Covariance), math.MaxFloat64))
	}
	for name, v := range l.TenantTokens {
		errs = append(errs, checkRange(name+" quota", v, math.MaxInt32))
	}
	return errors.Join(errs...)
}

// checkRange returns an error unless v is from 0 to most.
func checkRange(what string, v, most float64) error {
	if math.IsNaN(v) || v < 0 || v > most {
		return fmt.Errorf("%w: %s %v", ErrImplausible, what, v)
	}
	return nil
}

// checkAverage is checkRange for an average's mean, and for its number of samples.
func checkAverage(what string, a logic.Average, most float64) error {
	return errors.Join(checkRange(what, a.Mean, most), checkRange(what+" samples", float64(a.Samples), math.MaxInt32))
}
