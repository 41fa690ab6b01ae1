package reconfigure

import (
	"slices"
	"strconv"
	"strings"
)

// MissingKeys returns the keys that the running file has and the new one lacks, sorted. Both are values by path, as
// settings.Flatten returns them ("settings.classes.0.hard-limit"). A key of list items, such as a class's
// "hard-limit", is required on every item of the new list if every item of the running list has it.
func MissingKeys(running, next map[string]string) []string {
	var missing []string
	itemKeys := map[listKey]int{} // how many running items have the key
	for path := range running {
		if key, ok := splitListPath(path); ok {
			itemKeys[key]++
			continue
		}
		if _, ok := next[path]; !ok && !strings.HasSuffix(path, ".count") {
			missing = append(missing, path)
		}
	}
	for key, count := range itemKeys {
		if items, _ := strconv.Atoi(running[key.list+".count"]); count < items {
			continue // some running items lack it, so it is optional
		}
		missing = append(missing, key.missing(next)...)
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// listKey is a key that the items of a list have.
type listKey struct{ list, key string }

// missing returns the paths of the key in the items that lack it, or the path of the list if the list is absent.
func (k listKey) missing(next map[string]string) []string {
	items, err := strconv.Atoi(next[k.list+".count"])
	if err != nil {
		return []string{k.list}
	}
	var missing []string
	for i := range items {
		if path := k.list + "." + strconv.Itoa(i) + "." + k.key; next[path] == "" {
			missing = append(missing, path)
		}
	}
	return missing
}

// splitListPath splits a path at its first index: "classes.0.hard-limit" into "classes" and "hard-limit".
func splitListPath(path string) (key listKey, ok bool) {
	parts := strings.Split(path, ".")
	for i, part := range parts {
		if _, err := strconv.Atoi(part); err == nil && i > 0 && i < len(parts)-1 {
			return listKey{list: strings.Join(parts[:i], "."), key: strings.Join(parts[i+1:], ".")}, true
		}
	}
	return listKey{}, false
}
