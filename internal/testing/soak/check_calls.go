package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// judgeCalls: a call of a request that may run once is made once, unless it was turned away.
func (p *play) judgeCalls(r *Report) {
	p.catalogue.mu.Lock()
	defer p.catalogue.mu.Unlock()
	for _, body := range slices.Sorted(maps.Keys(p.catalogue.made)) {
		id, _, _ := strings.Cut(body, "/")
		if q := p.requests.byID[id]; p.catalogue.made[body] > 1 && q != nil && q.class != "read" {
			r.breach(RuleDuplicate, fmt.Sprintf("call %s of a %s was made %d times", body, q.class, p.catalogue.made[body]), id)
		}
	}
}
