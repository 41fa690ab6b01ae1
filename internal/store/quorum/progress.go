package quorum

import "fmt"

// Progress is what a member has acknowledged to the others: the highest term in which it acted, and the last log entry.
// Neither goes back while its data directory is intact, since entries are replaced only by entries of a later term.
type Progress struct {
	Term      uint64 `json:"term"`
	EntryTerm uint64 `json:"entry_term"`
	Index     uint64 `json:"index"`
}

// logAfter reports whether the last entry of p is later than that of o, in raft's order of logs (Ongaro and Ousterhout,
// "In search of an understandable consensus algorithm", 2014, 5.4.1).
func (p Progress) logAfter(o Progress) bool {
	return p.EntryTerm > o.EntryTerm || p.EntryTerm == o.EntryTerm && p.Index > o.Index
}

// Max returns the later entry and the higher term of p and o.
func (p Progress) Max(o Progress) Progress {
	if o.logAfter(p) {
		p.EntryTerm, p.Index = o.EntryTerm, o.Index
	}
	p.Term = max(p.Term, o.Term)
	return p
}

func (p Progress) String() string {
	return fmt.Sprintf("entry %d of term %d, in term %d", p.Index, p.EntryTerm, p.Term)
}
