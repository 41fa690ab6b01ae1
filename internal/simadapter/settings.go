package simadapter

import (
	"strings"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// parseSettings parses an instance's settings, which are path=value pairs.
func parseSettings(f *lineFields) (logic.Settings, *settings.NameIndex, error) {
	values := map[string]string{}
	for _, pair := range strings.Fields(f.rest) {
		path, value, found := strings.Cut(pair, "=")
		if !found {
			f.invalid("setting", pair)
		}
		values[path] = value
	}
	if f.err != nil {
		return logic.Settings{}, nil, f.err
	}
	return settings.Parse(values)
}
