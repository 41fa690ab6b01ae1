package operatorapi

import "strconv"

// Class contains the counters of one request class since the process started.
type Class struct {
	Name                       string
	OK, Shed, Errors, Attempts int // requests that succeeded, were rejected, failed; runs passed to the runtime
}

// Report contains the counters that telemetry returns.
type Report struct {
	Classes                       []Class
	InFlight                      int // requests that were read and are not yet answered
	ConfigApplied, ConfigRejected int // configuration files that were applied and rejected at SIGHUP
}

// Append appends the counters in statsd format, one per line, as the operators' documentation specifies: for example
// "app.responses.C.ok:812|c" for class C and "app.active:14|g".
func (r Report) Append(b []byte) []byte {
	counter := func(name string, v int) {
		b = append(b, "app."...)
		b = append(b, name...)
		b = append(b, ':')
		b = strconv.AppendInt(b, int64(v), 10)
		b = append(b, "|c\n"...)
	}
	for _, c := range r.Classes {
		counter("responses."+c.Name+".ok", c.OK)
		counter("responses."+c.Name+".shed", c.Shed)
		counter("responses."+c.Name+".errors", c.Errors)
		counter("responses."+c.Name+".tries", c.Attempts)
	}
	b = append(b, "app.active:"...)
	b = strconv.AppendInt(b, int64(r.InFlight), 10)
	b = append(b, "|g\n"...)
	counter("config_applied", r.ConfigApplied)
	counter("config_rejected", r.ConfigRejected)
	return b
}
