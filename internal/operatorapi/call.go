package operatorapi

import (
	"errors"
	"fmt"
	"strings"
)

// Call is an operator's command.
type Call int

// The calls.
const (
	Readyz    Call = iota + 1 // reports whether the process accepts clients
	Telemetry                 // returns the counters, followed by a line "--"
	Evacuate                  // makes health checks fail
	Activate                  // makes health checks succeed again
)

var callNames = map[string]Call{"readyz": Readyz, "telemetry": Telemetry, "evacuate": Evacuate, "activate": Activate}

// Parse parses one call. The line may end in "\n" or "\r\n"; case and surrounding spaces are ignored. Parse returns an
// error for an empty line, an unknown word, or words after the call.
func Parse(line string) (Call, error) {
	words := strings.Fields(line)
	switch {
	case len(words) == 0:
		return 0, errors.New("empty call")
	case len(words) > 1:
		return 0, fmt.Errorf("%q takes no arguments", words[0])
	}
	c, ok := callNames[strings.ToLower(words[0])]
	if !ok {
		return 0, fmt.Errorf("unknown call %q: readyz, telemetry, evacuate or activate", truncate(words[0], 32))
	}
	return c, nil
}

func truncate(s string, n int) string {
	if len(s) > n {
		return s[:n] + "..."
	}
	return s
}
