package release

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// KeyPrefix followed by a release's name, is the key of its document.
const KeyPrefix = "release/"

// TaskName is the name of the leased task whose holder takes releases through the fleet.
const TaskName = "release"

// State is what a release is doing.
type State string

// The states of a release. A halt is a document of its own (fleetstate.HaltKeyPrefix) and leaves the state as it is.
const (
	Running     State = "running"
	RollingBack State = "back"   // updated nodes get their previous version back, the latest wave first
	Completed   State = "over"   // all nodes are updated
	RolledBack  State = "undone" // all nodes that can have their previous version
)

// Release is a release as it is stored.
type Release struct {
	Name          string `json:"name"`
	TargetVersion string `json:"to"` // what nodes report as deployed once they are updated
	RequestedBy   string `json:"by"`
	Reason        string `json:"why"`
	RequestedAtMS int64  `json:"at"` // Unix milliseconds; for display only
	// Waves are names of nodes, in the order in which they are updated.
	Waves [][]string `json:"waves"`
	// PreviousVersions is what each node reported as deployed before. A node without an entry cannot be rolled back.
	PreviousVersions map[string]string `json:"from"`
	State            State             `json:"state"`
	CurrentWave      int               `json:"wave"` // index into Waves
	// SoakMS is for how long a wave is watched once all of it is back, milliseconds.
	SoakMS int64 `json:"soak_ms"`
	// ReturnTimeoutMS is the time in which a node should be back from when it went out of service, milliseconds.
	ReturnTimeoutMS int64 `json:"late_ms"`
	// DrainTimeoutMS is the time in which a node should have finished its requests, milliseconds. 0: any.
	DrainTimeoutMS int64 `json:"within_ms"`
	// Note is for operators: why it halted, or what they should know of the last wave.
	Note string `json:"note,omitempty"`
}

// Active says whether the release is under way, forwards or back; it may be halted.
func (r Release) Active() bool { return r.State == Running || r.State == RollingBack }

func (r Release) soak() time.Duration { return time.Duration(r.SoakMS) * time.Millisecond }

func (r Release) returnTimeout() time.Duration {
	return time.Duration(r.ReturnTimeoutMS) * time.Millisecond
}

// Validate returns an error that says why a release cannot be carried out, or nil.
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
		return fmt.Errorf("name %q: a word without slashes and spaces is wanted, and not %q", r.Name, fleetstate.HaltAll)
	case r.TargetVersion == "":
		return fmt.Errorf("to what is missing: the release that nodes are to report")
	case len(nodes) == 0:
		return fmt.Errorf("no node is left to change: all report %q", r.TargetVersion)
	case r.SoakMS < 0 || r.ReturnTimeoutMS <= 0:
		return fmt.Errorf("soak and late: times are wanted, the second above 0")
	}
	return nil
}

// Decode decodes a release's document. It returns an error if there is none.
func Decode(d document.Document) (r Release, err error) {
	if d.Version == 0 {
		return r, fmt.Errorf("there is no %s", d.Key)
	}
	return r, json.Unmarshal([]byte(d.Value), &r)
}
