package logic

// Quotas of tenants: a token bucket per tenant that holds 3 seconds of this server's share of the quota:
//
//	rate = max(1.3·QuotaPerSecond / FleetSize, 1/3) requests per second
//
// The lower bound of the rate lets the bucket hold at least one token. First attempts take a token. A request
// that finds no token is over its quota and loses weight (queue.go).
const (
	quotaImbalance    = 1.3 // factor on the even share, since traffic is spread unevenly over servers
	quotaBurstSeconds = 3   // seconds of quota that a tenant may use at once
)

// quotaRate returns this server's share of a tenant's quota, in requests per second.
func (s *Server) quotaRate(tenant int) float64 {
	rate := quotaImbalance * s.cfg.Tenants[tenant].QuotaPerSecond / float64(max(1, s.cfg.FleetSize))
	return max(rate, 1.0/quotaBurstSeconds)
}

// refillQuotas adds the tokens for the elapsed microseconds.
func (s *Server) refillQuotas(elapsed float64) {
	for i := range s.tenantTokens {
		rate := s.quotaRate(i)
		s.tenantTokens[i] = min(rate*quotaBurstSeconds, s.tenantTokens[i]+rate*elapsed/1e6)
	}
}

// chargeQuota takes a token for a first attempt. It reports whether the request is over its tenant's quota.
func (s *Server) chargeQuota(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(s.tenantTokens) || s.tenantTokens[r.Tenant] < 1 {
		return r.Tenant >= 0
	}
	if !r.Retry && r.firstAttemptAt == r.arrivedAt {
		s.tenantTokens[r.Tenant]--
	}
	return false
}
