package logic

import "slices"

// LearnedState returns a copy of the state that this server has learned so far.
func (s *Server) LearnedState() LearnedState {
	l := LearnedState{RunLimit: s.runLimit, CompletionGap: s.completionGap, CallTime: s.callTime,
		MinCallTime: s.minCallTime, RejectedShare: s.rejectedShare,
		TimeoutHistogram: slices.Clone(s.timeoutHistogram[:]), Classes: map[string]Estimate{},
		TenantTokens: map[string]float64{}}
	for _, c := range s.classes {
		l.Classes[c.Name] = c.Estimate
	}
	for i, t := range s.cfg.Tenants {
		l.TenantTokens[t.Name] = s.tenantTokens[i]
	}
	return l
}

// RestoreLearned initializes the server with the learned state of another one. The run limit stays bounded by
// the concurrency that this server sustains (limit.go). It must be called before the first Step.
func (s *Server) RestoreLearned(l LearnedState) {
	s.runLimit = max(s.runLimit, l.RunLimit)
	s.completionGap, s.rejectedShare = l.CompletionGap, l.RejectedShare
	s.callTime, s.minCallTime = l.CallTime, l.MinCallTime
	copy(s.timeoutHistogram[:], l.TimeoutHistogram)
	for _, c := range s.classes {
		c.Estimate = l.Classes[c.Name]
	}
	for i, t := range s.cfg.Tenants {
		s.tenantTokens[i] = min(s.tenantTokens[i], max(0, l.TenantTokens[t.Name]))
	}
}
