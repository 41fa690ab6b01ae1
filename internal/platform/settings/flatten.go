package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Flatten converts a JSON object to values by path, in the form of the simulator's protocol: the path of an item in a list of
// objects has its index, the list's length is stored under "count", and a list of plain values is joined by commas.
func Flatten(object map[string]any) map[string]string {
	values := map[string]string{}
	flatten(values, "", object)
	return values
}

func flatten(values map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			flatten(values, join(path, name), item)
		}
	case []any:
		flattenList(values, path, v)
	case nil:
	case float64:
		values[path] = formatNumber(v)
	default:
		values[path] = fmt.Sprint(v)
	}
}

func flattenList(values map[string]string, path string, list []any) {
	items := make([]string, len(list))
	for i, item := range list {
		switch item.(type) {
		case map[string]any:
			values[path+".count"] = strconv.Itoa(len(list))
			flatten(values, join(path, strconv.Itoa(i)), item)
		case nil: // null stays in the list as an empty value
		default:
			items[i] = fmt.Sprint(item)
		}
	}
	if values[path+".count"] == "" {
		values[path] = strings.Join(items, ",")
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
