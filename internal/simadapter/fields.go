package simadapter

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"sloehitch/logic"
)

// absent is an optional field without a value.
const absent = "-"

// lineFields reads the fields of a line one by one and keeps the first error.
type lineFields struct {
	rest string
	err  error
}

func (f *lineFields) next() string {
	field, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return field
}

// invalid reports an invalid field.
func (f *lineFields) invalid(name, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s %q", name, value)
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

// optional returns a field that may be absent, which is "".
func (f *lineFields) optional() string {
	if value := f.next(); value != absent {
		return value
	}
	return ""
}

func (f *lineFields) unsigned(name string) uint64 {
	return f.parseUnsigned(name, f.required(name))
}

// optionalUnsigned returns 0 for an absent field.
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

// micros returns a time that must be there and is not negative.
func (f *lineFields) micros(name string) logic.Micros {
	value := f.required(name)
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		f.invalid(name, value)
	}
	return logic.Micros(n)
}

// optionalMicros returns 0 for an absent field.
func (f *lineFields) optionalMicros(name string) logic.Micros {
	n := f.optionalUnsigned(name)
	if n > math.MaxInt64 {
		f.invalid(name, strconv.FormatUint(n, 10))
	}
	return logic.Micros(n)
}

// optionalFloat returns 0 for an absent field.
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

// done returns the first error of the line, or one for fields that are left over.
func (f *lineFields) done() error {
	if f.err == nil && f.rest != "" {
		f.invalid("trailing text", f.rest)
	}
	return f.err
}
