package logic

import (
	"cmp"
	"slices"
)

// Signals to callers. Health checks fail while the server is faulty, draining or has a mean staleness of 0.6.
// The load signal is, by Settings.SignalMode,
//
//	SignalWeight            1 - max(d, min(0.9, rejected share))
//	SignalPriorityFloor     max(d, priority floor)
//	SignalConcurrencyLimit  (1-d)·run limit·0.3·mean objective/mean T_m / effective callers
//
// with d = 0.98 while the server is faulty or draining, else 0. The priority floor is the rank below which
// the share of recent arrivals equals the rejected share in excess of 0.6. It decays, so that requests below
// it return, and it is not raised while calls are the bottleneck.
const (
	recentArrivalCount  = 32   // arrivals over which shares of the traffic are averaged
	offeredWorkShare    = 0.3  // work offered to callers, as a share of what fits into the mean objective
	maxDivertedShare    = 0.9  // maximum share of the traffic that is diverted because of a backlog
	faultyDivertedShare = 0.98 // share diverted while faulty or draining; the rest shows when a fault is over
	loadSignalMinChange = 0.25 // relative change above which a new load signal is sent
)

// arrivalHistory holds statistics of the most recent arrivals.
type arrivalHistory struct {
	recentArrivals []Arrival
	retryShare     float64 // share of retries, 0 to 1
	rejectedShare  Average // share of requests rejected, 0 to 1
}

// callerSignals holds the signals that were last sent to callers.
type callerSignals struct {
	sentHealthy    bool
	sentLoadSignal float64 // negative: none sent yet
	priorityFloor  float64 // rank below which callers are asked to send nothing
}

// recordArrival adds an arrival to the statistics of recent traffic.
func (s *Server) recordArrival(a Arrival) {
	s.retryShare *= 1 - 1.0/recentArrivalCount
	if a.Retry {
		s.retryShare += 1.0 / recentArrivalCount
	}
	s.recentArrivals = append(s.recentArrivals, a)
	s.recentArrivals = s.recentArrivals[max(0, len(s.recentArrivals)-recentArrivalCount):]
}

// updateSignals sends the health and load signals that have changed.
func (s *Server) updateSignals() {
	healthy := !s.stalledOrFailing() && s.readStaleness.Mean < unhealthyShare && !s.drainAnnounced()
	if healthy != s.sentHealthy {
		s.sentHealthy = healthy
		s.emit(Action{Kind: ActionSetHealth, Healthy: healthy})
	}
	if s.cfg.SignalMode == SignalOff {
		return
	}
	v, sent := s.loadSignal(), s.sentLoadSignal
	if sent < 0 || v > sent*(1+loadSignalMinChange) || v < sent*(1-loadSignalMinChange) {
		s.sentLoadSignal = v
		s.emit(Action{Kind: ActionSetLoadSignal, LoadSignal: v})
	}
}

// loadSignal returns the value of the load signal for the current signal mode.
func (s *Server) loadSignal() float64 {
	diverted := 0.0
	if s.stalledOrFailing() || s.drainAnnounced() {
		diverted = faultyDivertedShare
	}
	switch s.cfg.SignalMode {
	case SignalConcurrencyLimit:
		return s.callerConcurrencyLimit(diverted)
	case SignalPriorityFloor:
		return max(diverted, s.priorityFloor)
	default:
		return 1 - max(diverted, min(maxDivertedShare, s.rejectedShare.Mean))
	}
}

// callerConcurrencyLimit returns how many requests one caller may have in flight here.
func (s *Server) callerConcurrencyLimit(diverted float64) float64 {
	limit := (1 - diverted) * s.runLimit / max(1, s.effectiveCallers())
	meanRunTime := 0.0
	for _, c := range s.classes {
		meanRunTime += c.RunTime.Mean / float64(len(s.classes))
	}
	if meanRunTime > 0 {
		limit *= offeredWorkShare * s.meanObjective / meanRunTime
	}
	return limit
}

// effectiveCallers returns the effective number of callers among the recent arrivals (the inverse Simpson
// index). Dividing the limit by the plain number of callers would starve those with the most traffic.
func (s *Server) effectiveCallers() float64 {
	sumOfSquares, arrivals := 0, map[int]int{}
	for _, a := range s.recentArrivals {
		arrivals[a.CallerID]++
		sumOfSquares += 2*arrivals[a.CallerID] - 1
	}
	return float64(len(s.recentArrivals)*len(s.recentArrivals)) / float64(max(1, sumOfSquares))
}

// updatePriorityFloor decays the floor and raises it to cover the ranks that are being rejected.
func (s *Server) updatePriorityFloor() {
	s.priorityFloor *= 1 - 1.0/recentArrivalCount
	rejected := int(max(0, s.rejectedShare.Mean-futileRejectedShare) * float64(len(s.recentArrivals)))
	callBudgetLow := s.callCredit < reservedCalls*s.callTime.Mean
	if s.cfg.SignalMode == SignalPriorityFloor && rejected > 0 && !callBudgetLow {
		ranked := slices.Clone(s.recentArrivals)
		slices.SortFunc(ranked, func(a, b Arrival) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) })
		s.priorityFloor = max(s.priorityFloor, min(maxDivertedShare, ranked[rejected].PriorityRank))
	}
}
