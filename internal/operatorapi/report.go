package operatorapi

import "strconv"

// Class counts the requests of one class since the process started.
type Class struct {
	Name                       string
	OK, Shed, Errors, Attempts int // succeeded, rejected, failed; runs handed to the runtime
}

// Report is the counts that telemetry shows.
type Report struct {
	Classes                       []Class
	InFlight                      int // requests read and not yet answered
	ConfigApplied, ConfigRejected int // configuration files at SIGHUP
}

// Append appends the counts in the statsd form of the operators' page, "app.responses.C.ok:812|c" and
// "app.active:14|g", a line each.
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
