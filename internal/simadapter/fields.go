package simadapter

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"sloehitch/logic"
)

// absent marks an optional field without a value.
const absent = "-"

// lineFields parses the fields of a line one by one and keeps the first error.
type lineFields struct {
	rest string
	err  error
}

func (f *lineFields) next() string {
	field, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return field
}

// invalid records the error of an invalid field, unless an earlier one is recorded.
func (f *lineFields) invalid(name, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("invalid %s %q", name, value)
	}
}

// required returns a field that must have a value.
func (f *lineFields) required(name string) string {
	value := f.next()
	if value == "" || value == absent {
		f.invalid(name, value)
	}
	return value
}

// optional returns a field that may be absent, or "" if it is.
func (f *lineFields) optional() string {
	if value := f.next(); value != absent {
		return value
	}
	return ""
}

func (f *lineFields) unsigned(name string) uint64 {
	return f.parseUnsigned(name, f.required(name))
}

// optionalUnsigned returns an unsigned integer, or 0 if the field is absent.
func (f *lineFields) optionalUnsigned(name string) uint64 {
	value := f.optional()
	if value == "" {
		return 0
	}
	return f.parseUnsigned(name, value)
}

func (f *lineFields) parseUnsigned(name, value string) uint64 {
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		f.invalid(name, value)
	}
	return n
}

// micros returns a time that must be present and must not be negative.
func (f *lineFields) micros(name string) logic.Micros {
	value := f.required(name)
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		f.invalid(name, value)
	}
	return logic.Micros(n)
}

// optionalMicros returns a time, or 0 if the field is absent.
func (f *lineFields) optionalMicros(name string) logic.Micros {
	n := f.optionalUnsigned(name)
	if n > math.MaxInt64 {
		f.invalid(name, strconv.FormatUint(n, 10))
	}
	return logic.Micros(n)
}

// optionalFloat returns a finite number, or 0 if the field is absent.
func (f *lineFields) optionalFloat(name string) float64 {
	value := f.optional()
	if value == "" {
		return 0
	}
	return f.parseFloat(name, value)
}

// parseFloat parses a finite number.
func (f *lineFields) parseFloat(name, value string) float64 {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.invalid(name, value)
	}
	return v
}

// done returns the first error of the line, or an error if fields remain.
func (f *lineFields) done() error {
	if f.err == nil && f.rest != "" {
		f.invalid("trailing text", f.rest)
	}
	return f.err
}
