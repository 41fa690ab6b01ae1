package settings

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"sloehitch/logic"
)

// maxErrorValue is the maximum number of bytes of an invalid value in an error.
const maxErrorValue = 64

// parser reads values by path and collects errors.
type parser struct {
	values map[string]string
	errors FieldErrors
}

// text returns the value at a path; empty if it is absent, which the platform may also write as "-".
func (p *parser) text(path string) string {
	if text := p.values[path]; text != "-" {
		return text
	}
	return ""
}

// addError adds an error about the value at a path.
func (p *parser) addError(path, expected string) { p.addErrorAt(path, p.text(path), expected) }

// addErrorAt adds an error about the given value at a path.
func (p *parser) addErrorAt(path, value, expected string) {
	if len(value) > maxErrorValue {
		value = value[:maxErrorValue] + "…"
	}
	p.errors = append(p.errors, FieldError{Path: bracketIndices(path), Value: value, Expected: expected})
}

// bracketIndices returns a path with its indices in brackets: "classes[0].name" for "classes.0.name".
func bracketIndices(path string) string {
	var b strings.Builder
	for i, part := range strings.Split(path, ".") {
		_, err := strconv.Atoi(part)
		switch {
		case err == nil && i > 0:
			b.WriteString("[" + part + "]")
			continue
		case i > 0:
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

// number returns the number at a path, or the range's default if it is absent or out of range.
func (p *parser) number(path string, r numberRange) float64 {
	text := p.text(path)
	if text == "" {
		if r.required {
			p.addError(path, r.describe())
		}
		return r.defaultValue
	}
	return p.parseNumber(path, text, r)
}

func (p *parser) parseNumber(path, text string, r numberRange) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !r.contains(v) {
		p.addErrorAt(path, text, r.describe())
		return r.defaultValue
	}
	return v
}

func (p *parser) duration(path string, r numberRange) logic.Micros {
	return logic.Micros(p.number(path, r))
}

func (p *parser) boolean(path string) bool { return p.parseBoolean(path, p.text(path)) }

func (p *parser) parseBoolean(path, text string) bool {
	switch text {
	case "true", "1":
		return true
	case "", "-", "false", "0":
	default:
		p.addErrorAt(path, text, "must be true or false")
	}
	return false
}

// oneOf returns the value for the name at a path; the zero value if it is absent or unknown.
func oneOf[V any](p *parser, path string, byName map[string]V) V {
	name := p.text(path)
	v, known := byName[name]
	if !known && name != "" {
		p.addError(path, "must be one of ["+strings.Join(slices.Sorted(maps.Keys(byName)), ", ")+"]")
	}
	return v
}

// listLength returns the length of a list of objects: the value under "count", or else the number of consecutive indices from 0.
func (p *parser) listLength(path string, least, most float64) int {
	if p.text(path+".count") != "" {
		r := numberRange{min: least, max: most, integer: true, reason: "the length of the list"}
		return min(int(p.number(path+".count", r)), len(p.values))
	}
	if p.text(path) != "" {
		p.addError(path, "must be a list of objects")
		return 0
	}
	n := 0
	for n <= int(most) && p.hasPrefix(fmt.Sprintf("%s.%d.", path, n)) {
		n++
	}
	if float64(n) < least || float64(n) > most {
		p.addError(path, fmt.Sprintf("must be a list of %s to %s objects", formatNumber(least), formatNumber(most)))
		return 0
	}
	return n
}

// hasPrefix reports whether the path of any value starts with prefix.
func (p *parser) hasPrefix(prefix string) bool {
	for path := range p.values {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// addName adds the name of a list item to the index.
func (p *parser) addName(path string, i int, index map[string]int) {
	name := p.text(path)
	if _, taken := index[name]; taken {
		p.addError(path, "must be unique, but another item has the same name")
	}
	if name == "" {
		p.addError(path, "must be the name that requests carry")
	}
	index[name] = i
}

// listItem returns the i-th value of a list of plain values; empty if there is none.
func (p *parser) listItem(path string, i int) string {
	list := strings.Split(p.text(path), ",")
	if i >= len(list) {
		return ""
	}
	return list[i]
}
