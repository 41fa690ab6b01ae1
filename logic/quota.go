package logic

// Quotas of tenants: a token bucket for each tenant that holds 3 seconds of this server's share of the quota
//
//	rate = max(1.3·QuotaPerSecond / FleetSize, 1/3) requests a second, so that one fits at least
//
// First attempts take a token. A request that finds none is over its quota and loses weight (queue.go).
const (
	quotaImbalance    = 1.3 // a server's share over the even one: traffic is spread unevenly
	quotaBurstSeconds = 3   // seconds of quota that a tenant may use at once
)

// quotaRate returns this server's share of a tenant's quota, in requests a second.
func (s *Server) quotaRate(tenant int) float64 {
	rate := quotaImbalance * s.cfg.Tenants[tenant].QuotaPerSecond / float64(max(1, s.cfg.FleetSize))
	return max(rate, 1.0/quotaBurstSeconds)
}

// refillQuotas adds the tokens of the elapsed microseconds.
func (s *Server) refillQuotas(elapsed float64) {
	for i := range s.tenantTokens {
		rate := s.quotaRate(i)
		s.tenantTokens[i] = min(rate*quotaBurstSeconds, s.tenantTokens[i]+rate*elapsed/1e6)
	}
}

// chargeQuota takes a token for a first attempt and reports whether none was left for the request.
func (s *Server) chargeQuota(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(s.tenantTokens) || s.tenantTokens[r.Tenant] < 1 {
		return r.Tenant >= 0
	}
	if !r.Retry && r.firstAttemptAt == r.arrivedAt {
		s.tenantTokens[r.Tenant]--
	}
	return false
}
