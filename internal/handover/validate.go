package handover

import (
	"errors"
	"fmt"
	"math"
	"time"

	"sloehitch/logic"
)

// Requirements are the conditions under which a starting process may use a snapshot.
type Requirements struct {
	Node         string
	Settings     logic.Settings
	Now          time.Time
	MaxAge       time.Duration
	MaxClockSkew time.Duration // maximum time by which a snapshot may be ahead of Now
}

// Validate returns nil if a snapshot may be used, and otherwise an error with the reason. The snapshot must be from this
// node and these settings, its age must be from -MaxClockSkew to MaxAge, and each value must be plausible. A snapshot that
// was made under overload is used like any other: averages adapt to the new server's measurements, and Discount limits
// their weight.
func Validate(s Snapshot, r Requirements) error {
	switch age := r.Now.Sub(s.CreatedAt); {
	case s.Node != r.Node:
		return fmt.Errorf("%w: %s", ErrOtherNode, s.Node)
	case s.SettingsHash != HashSettings(r.Settings):
		return ErrOtherSettings
	case age > r.MaxAge:
		return fmt.Errorf("%w: %v, the maximum is %v", ErrTooOld, age.Round(time.Millisecond), r.MaxAge)
	case age < -r.MaxClockSkew:
		return fmt.Errorf("%w (by %v)", ErrFromFuture, -age.Round(time.Millisecond))
	}
	return checkLearnedState(s.LearnedState, r.Settings)
}

// maxTimeFactor is the maximum of learned times, as a multiple of the longest timeout of any class.
const maxTimeFactor = 10

// checkLearnedState returns an error for values that would prevent a server from learning better ones.
func checkLearnedState(l logic.LearnedState, s logic.Settings) error {
	maxTime := 0.0
	for _, c := range s.Classes {
		maxTime = max(maxTime, maxTimeFactor*float64(c.ClientTimeout))
	}
	errs := []error{
		checkRange("run limit", l.RunLimit, max(1, s.MaxConcurrencyPerCore)*float64(s.Cores)),
		checkAverage("completion gap", l.CompletionGap, maxTime),
		checkAverage("call time", l.CallTime, maxTime),
		checkRange("minimum call time", l.MinCallTime, maxTime),
		checkAverage("rejected share", l.RejectedShare, 1),
	}
	for _, v := range l.TimeoutHistogram {
		errs = append(errs, checkRange("timeout histogram", v, math.MaxInt32))
	}
	for name, e := range l.Classes {
		errs = append(errs,
			checkAverage(name, e.RunTime, maxTime),
			checkAverage(name, e.HintedRunTime, maxTime),
			checkAverage(name, e.Hint, math.MaxInt64),
			checkRange(name+" hint variance", e.HintVariance, math.MaxFloat64),
			checkRange(name+" covariance", math.Abs(e.Covariance), math.MaxFloat64))
	}
	for name, v := range l.TenantTokens {
		errs = append(errs, checkRange(name+" quota", v, math.MaxInt32))
	}
	return errors.Join(errs...)
}

// checkRange returns an error unless 0 <= v <= maximum.
func checkRange(name string, v, maximum float64) error {
	if math.IsNaN(v) || v < 0 || v > maximum {
		return fmt.Errorf("%w: %s %v", ErrImplausible, name, v)
	}
	return nil
}

// checkAverage checks the range of an average's mean and of its number of samples.
func checkAverage(name string, a logic.Average, maximum float64) error {
	return errors.Join(checkRange(name, a.Mean, maximum), checkRange(name+" samples", float64(a.Samples), math.MaxInt32))
}
