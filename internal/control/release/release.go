package release

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// KeyPrefix is the prefix of the keys of releases. The name of the release follows it.
const KeyPrefix = "release/"

// TaskName is the name of the leased task whose holder controls releases.
const TaskName = "release"

// State is the state of a release.
type State string

// States of a release. A halt is a separate document (fleetstate.HaltKeyPrefix) and does not change the state.
const (
	Running     State = "running"
	RollingBack State = "back"   // updated nodes get their previous version back, the latest wave first
	Completed   State = "over"   // all nodes are updated
	RolledBack  State = "undone" // all nodes with a previous version run it again
)

// Release is the stored document of a release.
type Release struct {
	Name          string `json:"name"`
	TargetVersion string `json:"to"` // what nodes report as deployed once they are updated
	RequestedBy   string `json:"by"`
	Reason        string `json:"why"`
	RequestedAtMS int64  `json:"at"` // Unix milliseconds; for display only
	// Waves are names of nodes, in the order in which they are updated.
	Waves [][]string `json:"waves"`
	// PreviousVersions is the version that each node reported before. A node without an entry cannot be rolled back.
	PreviousVersions map[string]string `json:"from"`
	State            State             `json:"state"`
	CurrentWave      int               `json:"wave"` // index into Waves
	// SoakMS is how long a wave is observed after all its nodes are back in service, milliseconds.
	SoakMS int64 `json:"soak_ms"`
	// ReturnTimeoutMS is the time from going out of service within which a node must be back, milliseconds.
	ReturnTimeoutMS int64 `json:"late_ms"`
	// DrainTimeoutMS is the time within which a node should have finished its requests, milliseconds. 0 means no limit.
	DrainTimeoutMS int64 `json:"within_ms"`
	// Note is for operators: why the release halted, or a remark on the last wave.
	Note string `json:"note,omitempty"`
}

// Active reports whether the release is running or rolling back. It may be halted.
func (r Release) Active() bool { return r.State == Running || r.State == RollingBack }

func (r Release) soak() time.Duration { return time.Duration(r.SoakMS) * time.Millisecond }

func (r Release) returnTimeout() time.Duration {
	return time.Duration(r.ReturnTimeoutMS) * time.Millisecond
}

// Validate returns an error if the release cannot be carried out.
func (r Release) Validate() error {
	nodes := map[string]bool{}
	for _, wave := range r.Waves {
		for _, node := range wave {
			if nodes[node] {
				return fmt.Errorf("node %s is in two waves", node)
			}
			nodes[node] = true
		}
	}
	switch {
	case r.Name == "" || r.Name == fleetstate.HaltAll || strings.ContainsAny(r.Name, "/ "):
		return fmt.Errorf("release name %q must be a word without slashes and spaces, and not %q", r.Name, fleetstate.HaltAll)
	case r.TargetVersion == "":
		return fmt.Errorf("target version (to) is missing")
	case len(nodes) == 0:
		return fmt.Errorf("no node to update: all nodes report version %q", r.TargetVersion)
	case r.SoakMS < 0 || r.ReturnTimeoutMS <= 0:
		return fmt.Errorf("soak time must be 0 or more, and return timeout (late) above 0")
	}
	return nil
}

// Decode decodes a release's document. It returns an error if the document does not exist.
func Decode(d document.Document) (r Release, err error) {
	if d.Version == 0 {
		return r, fmt.Errorf("document %s does not exist", d.Key)
	}
	return r, json.Unmarshal([]byte(d.Value), &r)
}
