package logic

import (
	"cmp"
	"slices"
)

// Order of the queue (FEFM, section II.C). Requests that can no longer meet D1 (admission.go) move to the
// old-request queue for good. The new-request queue comes first. Within a queue, requests with more priority
// weight per microsecond of expected run time T_m come first, and among equals those that arrived earlier:
//
//	density = PriorityWeight / T_m
//
// A request over its tenant's quota has only OverQuotaWeightShare of its weight, and a retry 0.3 of it. With
// WeightPerWork the weight is not divided. Both queues are stored in one slice, the new-request queue first.

// retryWeightShare is the share of its weight that a retry or hedged request has. It is below 1 because an
// unknown part of the latency objective is already spent.
const retryWeightShare = 0.3

// sortQueue moves requests that can no longer meet D1 to the old-request queue and orders both queues.
func (s *Server) sortQueue() {
	for _, r := range s.queue {
		d1, _ := s.queueBounds(r)
		r.inOldQueue = r.inOldQueue || !s.meetsBound(r, d1, 0)
		r.weightDensity = s.computeWeightDensity(r)
	}
	slices.SortStableFunc(s.queue, func(a, b *request) int {
		if a.inOldQueue != b.inOldQueue {
			if a.inOldQueue {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.weightDensity, a.weightDensity), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
}

// computeWeightDensity returns the priority weight per microsecond of expected run time.
func (s *Server) computeWeightDensity(r *request) float64 {
	weight := s.classes[r.Class].PriorityWeight
	if r.overQuota {
		weight *= s.cfg.OverQuotaWeightShare
	}
	if r.Retry || r.firstAttemptAt < r.arrivedAt {
		weight *= retryWeightShare
	}
	if s.cfg.WeightPerWork {
		return weight
	}
	return weight / max(1, s.expectedRunTime(r))
}
