package settings

import (
	"fmt"
	"math"
	"strconv"
)

// numberRange is the valid range of a number and its default.
type numberRange struct {
	min, max     float64
	exclusiveMin bool // min itself is out of range
	integer      bool
	required     bool
	defaultValue float64 // used if the number is absent or out of range
	reason       string  // meaning of the number, with its unit
}

// Durations in microseconds.
const (
	hour = 3600e6
	day  = 24 * hour
)

// The ranges of the settings.
var (
	fleetSizeRange = numberRange{max: 1e6, integer: true, defaultValue: 1,
		reason: "servers in the fleet, including this one"}
	coresRange = numberRange{min: 1, max: 4096, integer: true, required: true, defaultValue: 1,
		reason: "cores on which the work runs"}
	memoryRange = numberRange{max: 1e10, exclusiveMin: true, required: true, defaultValue: 1,
		reason: "kilobytes for queued and running requests and keys"}
	runMemoryFactorRange = numberRange{max: 1e3, defaultValue: 1,
		reason: "ratio of the memory of a running request to that of a queued one; below 1 counts as 1"}
	keyEntryRange = numberRange{max: 1e7,
		reason: "kilobytes of one entry of the idempotency key table"}
	concurrencyPerCoreRange = numberRange{min: 1, max: 1e3, defaultValue: 1e3,
		reason: "concurrent requests per core that the server can sustain"}
	stepIntervalRange = numberRange{min: 100, max: 1e6, defaultValue: 4000,
		reason: "microseconds between two decisions: below 100 a core does nothing else, above a second answers are too late"}
	shareRange           = numberRange{max: 1, reason: "a share"}
	overQuotaWeightRange = numberRange{max: 1, defaultValue: 1,
		reason: "weight of a request above its tenant's quota, as a share of its class's weight"}
	durationRange          = numberRange{max: day, reason: "microseconds, a day at most"}
	idempotencyWindowRange = numberRange{max: 7 * day, reason: "microseconds, a week at most; each key is kept this long"}
	requiredDurationRange  = numberRange{max: day, exclusiveMin: true, required: true, defaultValue: 1,
		reason: "microseconds, a day at most, such as 2500000 for 2.5 s"}
	callConcurrencyRange = numberRange{max: 1e6,
		reason: "mean number of calls that this server may have in flight"}
	objectivePerWorkRange = numberRange{max: 1e4,
		reason: "microseconds added to a request's latency objective per microsecond of its work"}
	priorityWeightRange = numberRange{max: 1e9, defaultValue: 1,
		reason: "weight of one request, relative to that of other classes"}
	quotaRange = numberRange{max: 1e9, defaultValue: 1e9,
		reason: "quota of the tenant in requests per second over all servers; absent: no quota"}
)

// describe returns a description of the range for errors.
func (r numberRange) describe() string {
	number, from := "a number", "from "+formatNumber(r.min)
	if r.integer {
		number = "a whole number"
	}
	if r.exclusiveMin {
		from = "above " + formatNumber(r.min)
	}
	return fmt.Sprintf("must be %s %s to %s (%s)", number, from, formatNumber(r.max), r.reason)
}

func (r numberRange) contains(v float64) bool {
	return v >= r.min && v <= r.max && !(r.exclusiveMin && v == r.min) && !(r.integer && v != math.Trunc(v))
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
