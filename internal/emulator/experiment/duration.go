package experiment

import (
	"fmt"
	"strings"
	"time"
)

// Duration is a duration in an experiment file, written with its unit: "250ms", "1m30s".
type Duration struct{ time.Duration } // a struct, so that a bare number is an error

// UnmarshalText parses a duration. It returns an error for a number without a unit, an unknown unit or a negative value.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return &durationError{string(text)}
	}
	d.Duration = parsed
	return nil
}

// durationError reports a value that is not a duration.
type durationError struct{ text string }

func (e *durationError) Error() string {
	return fmt.Sprintf("%q is not a duration: write a number with the unit ns, us, ms, s, m or h, such as \"250ms\"", e.text)
}

// line returns the number of the first line of a file with the value, or 0. The decoder doesn't give the position.
func (e *durationError) line(file []byte) int {
	for i, line := range strings.Split(string(file), "\n") {
		_, value, _ := strings.Cut(line, "=")
		value, _, _ = strings.Cut(value, "#")
		if strings.Trim(value, " \t\r\"'") == e.text {
			return i + 1
		}
	}
	return 0
}
