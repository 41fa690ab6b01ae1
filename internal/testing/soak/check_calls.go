package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checkCalls checks that each downstream call of a request that is not idempotent was made at most once; calls that the catalogue rejected
// do not count.
func (run *testRun) checkCalls(r *Report) {
	run.catalogue.mu.Lock()
	defer run.catalogue.mu.Unlock()
	for _, body := range slices.Sorted(maps.Keys(run.catalogue.calls)) {
		id, _, _ := strings.Cut(body, "/")
		if q := run.requests.byID[id]; run.catalogue.calls[body] > 1 && q != nil && q.class != "read" {
			r.addViolation(RuleDuplicate, fmt.Sprintf("call %s of a request of class %s was made %d times", body, q.class,
				run.catalogue.calls[body]), id)
		}
	}
}
