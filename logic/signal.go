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
// with d = 0.98 while the server is faulty or draining, else 0. The priority floor is the rank below which as
// many of the latest arrivals lie as are rejected beyond a share of 0.6. It decays, so that what it hides
// returns, and it stays where calls are what is short.
const (
	recentArrivalCount  = 32   // arrivals over which shares of the traffic are averaged
	offeredWorkShare    = 0.3  // work offered to callers, as a share of what fits into the mean objective
	maxDivertedShare    = 0.9  // share of the traffic that a backlog keeps away at most
	faultyDivertedShare = 0.98 // share kept away while faulty or draining; the rest shows when it is over
	loadSignalMinChange = 0.25 // relative change of the load signal that is sent
)

// arrivalHistory is what is known of the latest arrivals.
type arrivalHistory struct {
	recentArrivals []Arrival
	retryShare     float64 // share of retries, 0 to 1
	rejectedShare  Average // share of requests rejected, 0 to 1
}

// callerSignals is what callers were told last.
type callerSignals struct {
	sentHealthy    bool
	sentLoadSignal float64 // negative: none
	priorityFloor  float64 // rank below which callers are asked to send nothing
}

// recordArrival takes an arrival into the shares of the traffic.
func (s *Server) recordArrival(a Arrival) {
	s.retryShare *= 1 - 1.0/recentArrivalCount
	if a.Retry {
		s.retryShare += 1.0 / recentArrivalCount
	}
	s.recentArrivals = append(s.recentArrivals, a)
	s.recentArrivals = s.recentArrivals[max(0, len(s.recentArrivals)-recentArrivalCount):]
}

// updateSignals sends health and load signal where they have changed.
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

// loadSignal returns the value of the load signal, by what callers do with it.
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

// effectiveCallers returns the number of callers with equal traffic that the latest arrivals amount to (the
// inverse Simpson index): an even split among all callers would starve those that send much.
func (s *Server) effectiveCallers() float64 {
	pairs, arrivals := 0, map[int]int{}
	for _, a := range s.recentArrivals {
		arrivals[a.CallerID]++
		pairs += 2*arrivals[a.CallerID] - 1
	}
	return float64(len(s.recentArrivals)*len(s.recentArrivals)) / float64(max(1, pairs))
}

// updatePriorityFloor lowers the floor a little, and raises it to the ranks that are rejected anyway.
func (s *Server) updatePriorityFloor() {
	s.priorityFloor *= 1 - 1.0/recentArrivalCount
	rejected := int(max(0, s.rejectedShare.Mean-futileRejectedShare) * float64(len(s.recentArrivals)))
	callsShort := s.callCredit < reservedCalls*s.callTime.Mean
	if s.cfg.SignalMode == SignalPriorityFloor && rejected > 0 && !callsShort {
		ranked := slices.Clone(s.recentArrivals)
		slices.SortFunc(ranked, func(a, b Arrival) int { return cmp.Compare(a.PriorityRank, b.PriorityRank) })
		s.priorityFloor = max(s.priorityFloor, min(maxDivertedShare, ranked[rejected].PriorityRank))
	}
}
