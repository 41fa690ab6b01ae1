package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxListedErrors is the maximum number of errors that FieldErrors.Error lists.
const maxListedErrors = 20

// FieldError describes an invalid or missing value.
type FieldError struct {
	Path     string // such as "classes[0].objective"
	Value    string // the value as given; empty if it is missing
	Expected string // the valid values and their meaning
}

// Error returns the path, the value and the expected values.
func (e FieldError) Error() string {
	if e.Value == "" {
		return e.Path + " is missing: " + e.Expected
	}
	return fmt.Sprintf("%s is %q: %s", e.Path, e.Value, e.Expected)
}

// FieldErrors lists all invalid and missing values of a settings object.
type FieldErrors []FieldError

// Error lists the first errors and counts the others.
func (es FieldErrors) Error() string {
	var messages []string
	for i, e := range es {
		if i == maxListedErrors {
			messages = append(messages, fmt.Sprintf("and %d more", len(es)-maxListedErrors))
			break
		}
		messages = append(messages, e.Error())
	}
	return strings.Join(messages, "; ")
}

// WithPrefix returns the errors with key and a dot before each path, for a file that has the settings under that key.
func (es FieldErrors) WithPrefix(key string) FieldErrors {
	prefixed := slices.Clone(es)
	for i := range prefixed {
		prefixed[i].Path = key + "." + prefixed[i].Path
	}
	return prefixed
}
