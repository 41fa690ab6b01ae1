package release

import (
	"strings"
	"testing"
)

func TestValidateRejectsInvalidRelease(t *testing.T) {
	for wantErr, r := range map[string]Release{
		`no node to update: all nodes report version "v1"`:                            {Name: "r", TargetVersion: "v1", ReturnTimeoutMS: 1},
		"node a is in two waves":                                                      {Name: "r", TargetVersion: "v1", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}, {"a"}}},
		`release name "a/b" must be a word without slashes and spaces, and not "all"`: {Name: "a/b", TargetVersion: "v1", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}}},
		"target version (to) is missing":                                              {Name: "r", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}}},
		"soak time must be 0 or more, and return timeout (late) above 0":              {Name: "r", TargetVersion: "v1", Waves: [][]string{{"a"}}},
	} {
		if err := r.Validate(); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("Validate of %+v: %v, want %q", r, err, wantErr)
		}
	}
}
