package release

import (
	"strings"
	"testing"
)

func TestValidate(t *testing.T) {
	for wrong, r := range map[string]Release{
		"all report":   {Name: "r", TargetVersion: "v1", ReturnTimeoutMS: 1},
		"two waves":    {Name: "r", TargetVersion: "v1", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}, {"a"}}},
		"slashes":      {Name: "a/b", TargetVersion: "v1", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}}},
		"to what":      {Name: "r", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}}},
		"soak and lat": {Name: "r", TargetVersion: "v1", Waves: [][]string{{"a"}}},
	} {
		if err := r.Validate(); err == nil || !strings.Contains(err.Error(), wrong) {
			t.Errorf("%+v: %v, want %q", r, err, wrong)
		}
	}
}
