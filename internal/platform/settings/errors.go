package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxListedErrors is how many errors FieldErrors.Error spells out.
const maxListedErrors = 20

// FieldError is one invalid value.
type FieldError struct {
	Path     string // where it stands, such as "classes[0].objective"
	Value    string // as given; empty: it is missing
	Expected string // the valid values with their meaning, and what to write instead
}

// Error names the path, the value and what is expected.
func (e FieldError) Error() string {
	if e.Value == "" {
		return e.Path + " is missing: " + e.Expected
	}
	return fmt.Sprintf("%s is %q: %s", e.Path, e.Value, e.Expected)
}

// FieldErrors is all that is wrong with settings.
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

// WithPrefix returns the errors with their paths as they stand in a file that has the settings under a key.
func (es FieldErrors) WithPrefix(key string) FieldErrors {
	prefixed := slices.Clone(es)
	for i := range prefixed {
		prefixed[i].Path = key + "." + prefixed[i].Path
	}
	return prefixed
}
