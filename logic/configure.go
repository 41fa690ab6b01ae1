package logic

import "errors"

// Errors of New and Server.Reconfigure.
var (
	// ErrInvalidSettings is returned for settings under which nothing can be decided.
	ErrInvalidSettings = errors.New("settings: cores, memory, latency objectives and client timeouts " +
		"must be above 0, no duration below 0")
	// ErrClassesRemoved is returned for new settings that lack a class or change the number of tenants.
	ErrClassesRemoved = errors.New("settings: while requests are in flight classes may only be added")
)

// validate returns ErrInvalidSettings where nothing could be decided under the settings. Package settings
// says which key is wrong.
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

// New returns a Server for the settings. The seed is not used: nothing is drawn at random. It returns
// ErrInvalidSettings where nothing could be decided under the settings.
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

// Reconfigure takes new settings while requests are in flight. Classes keep their indices and new ones come
// after them; tenants stay as they are. It returns ErrInvalidSettings or ErrClassesRemoved and then changes
// nothing.
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

// SetResourceShare sets the share of the cores and the memory, above 0 to 1, that this server may use from
// the next Step on; another process has the rest.
func (s *Server) SetResourceShare(share float64) { s.resourceShare = share }
