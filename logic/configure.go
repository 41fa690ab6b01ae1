package logic

import "errors"

// Errors of New and Server.Reconfigure.
var (
	// ErrInvalidSettings is returned for settings that are out of range.
	ErrInvalidSettings = errors.New("settings out of range: at least one class is required; cores, memory, " +
		"latency objectives, client timeouts and the window of a call limit must be above 0, " +
		"durations must not be negative")
	// ErrClassesRemoved is returned for new settings that lack a class or change the number of tenants.
	ErrClassesRemoved = errors.New("settings: a class was removed or the number of tenants changed")
)

// validate returns ErrInvalidSettings if the settings are out of range. Package settings reports which key is
// invalid.
func validate(cfg Settings) error {
	valid := len(cfg.Classes) > 0 && min(float64(cfg.Cores), cfg.MemoryKB) > 0
	for _, c := range cfg.Classes {
		valid = valid && c.LatencyObjective > 0 && c.ClientTimeout > 0 && c.IdempotencyWindow >= 0
	}
	if cfg.CallConcurrencyLimit > 0 && cfg.CallConcurrencyWindow == 0 {
		valid = false
	}
	shortest := min(cfg.SlowStartDuration, cfg.ConcurrencyWindow, cfg.ResponseGrace, cfg.DrainGrace,
		cfg.StepInterval, cfg.CallConcurrencyWindow, cfg.AbandonedCallDuration, cfg.MaxRetryAfter,
		cfg.CallerIdleTimeout)
	if !valid || shortest < 0 {
		return ErrInvalidSettings
	}
	return nil
}

// New returns a Server for the settings, or ErrInvalidSettings. The seed is not used, since no decision is
// random.
func New(cfg Settings, _ uint64) (*Server, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	s := &Server{now: -1, maxWeight: 1e-9, tenantTokens: make([]float64, len(cfg.Tenants))}
	s.byID = map[RequestID]*request{}
	s.runLimit, s.resourceShare = float64(cfg.Cores), 1
	s.gauges = Gauges{CPUUtilization: -1, RunQueueLength: -1, MemoryUtilization: -1, Connections: -1}
	s.sentLoadSignal, s.sentHealthy = -1, true
	s.applySettings(cfg)
	for i := range s.tenantTokens {
		s.tenantTokens[i] = s.quotaRate(i) * quotaBurstSeconds
	}
	return s, nil
}

// Reconfigure applies new settings while requests are in flight. Classes must keep their indices, new classes
// are appended, and tenants must not change. If it returns an error, ErrInvalidSettings or ErrClassesRemoved,
// nothing has changed.
func (s *Server) Reconfigure(cfg Settings) error {
	if err := validate(cfg); err != nil {
		return err
	}
	if len(cfg.Classes) < len(s.classes) || len(cfg.Tenants) != len(s.cfg.Tenants) {
		return ErrClassesRemoved
	}
	s.applySettings(cfg)
	return nil
}

func (s *Server) applySettings(cfg Settings) {
	cfg.RunMemoryFactor = max(1, cfg.RunMemoryFactor)
	s.cfg, s.meanObjective = cfg, 0
	for i, c := range cfg.Classes {
		if i == len(s.classes) {
			s.classes = append(s.classes, &classState{})
		}
		s.classes[i].Class = c
		s.meanObjective += float64(c.LatencyObjective) / float64(len(cfg.Classes))
		s.maxWeight = max(s.maxWeight, c.PriorityWeight)
	}
}

// SetResourceShare sets the share of the cores and the memory, above 0 and at most 1, that this server may
// use from the next Step on. Another process uses the rest.
func (s *Server) SetResourceShare(share float64) { s.resourceShare = share }
