package simadapter

import (
	"strings"

	"sloehitch/internal/platform/settings"
	"sloehitch/logic"
)

// parseSettings reads the path=value settings of BEGIN.
func parseSettings(f *lineFields) (logic.Settings, *settings.NameIndex, error) {
	values := map[string]string{}
	for _, pair := range strings.Fields(f.rest) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			f.invalid("setting", pair)
		}
		values[path] = value
	}
	if f.err != nil {
		return logic.Settings{}, nil, f.err
	}
	return settings.Parse(values)
}
