package soak

import (
	"fmt"
	"maps"
	"slices"
)

// judgeKeys: the attempts of one key run once in the key's window, in the life of one process, and none is refused after that.
func (p *play) judgeKeys(r *Report) {
	keys := map[string][]*request{}
	for _, q := range p.requests.list {
		if q.key != "" {
			keys[q.key] = append(keys[q.key], q)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		p.judgeKey(r, key, keys[key])
	}
}

func (p *play) judgeKey(r *Report, key string, attempts []*request) {
	for _, l := range p.lives {
		ran := p.judgeRunsOfKey(r, l, key, attempts)
		if ran == nil {
			continue
		}
		p.judgeRejectedRetries(r, l, ran, attempts)
		if p.plan.Site.Shared { // processes that replace one another are one node, whichever of them an attempt reaches
			return
		}
	}
}

// judgeRunsOfKey holds the runs of a key in one process to its window, and returns the last attempt that ran; nil: none did.
func (p *play) judgeRunsOfKey(r *Report, l *life, key string, attempts []*request) (ran *request) {
	for _, q := range attempts {
		for _, s := range q.starts {
			if s.life != l.number && !p.plan.Site.Shared {
				continue
			}
			if ran != nil && ran != q && q.written-ran.written < p.plan.Site.Window {
				r.breach(RuleDuplicate, fmt.Sprintf("key %s ran as %s and as %s", key, ran.id, q.id), key)
			}
			ran = q
		}
	}
	return ran
}

// judgeRejectedRetries: no attempt that the process could answer from the result of the one that ran is rejected.
func (p *play) judgeRejectedRetries(r *Report, l *life, ran *request, attempts []*request) {
	ends := l.ended
	if ends == 0 || p.plan.Site.Shared {
		ends = p.record.now()
	}
	for _, q := range attempts {
		inWindow := q.written > ran.starts[0].at && q.written-ran.written < p.plan.Site.Window && q.written < ends
		reached := q.life == l.number || p.plan.Site.Shared
		rejected := len(q.answers) == 1 && q.answers[0].word == "NAK"
		if q != ran && inWindow && reached && rejected {
			r.breach(RuleDuplicate, fmt.Sprintf("key %s ran as %s, and its retry %s was rejected", q.key, ran.id, q.id), q.key)
		}
	}
}
