package document

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloehitch/internal/control/lease"
)

// TestStateMatchesModel applies random transactions to a state and compares it with a map: each id is committed once,
// tokens only increase, and a member that loads a snapshot at any point arrives at the same bytes.
func TestStateMatchesModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newModel(t)
		n := rapid.IntRange(1, 40).Draw(r, "steps")
		for i := range n {
			m.step(r, i)
		}
		if m.restored != nil && !bytes.Equal(save(r, m.state), save(r, m.restored)) {
			r.Fatalf("the state loaded from a snapshot differs:\n%s\n%s", save(r, m.state), save(r, m.restored))
		}
	})
}

// model is a state with its expected content.
type model struct {
	t            *testing.T
	state        *State
	restored     *State // state loaded from a snapshot; nil: none yet
	documents    map[string]string
	versions     map[string]uint64
	applied      []Transaction
	highestToken uint64
}

func newModel(t *testing.T) *model {
	m := &model{t: t, documents: map[string]string{}, versions: map[string]uint64{}}
	m.state = newTestState(t, m.limits())
	return m
}

func (*model) limits() Limits {
	l := DefaultLimits
	l.RememberedRequests, l.RememberedChanges = 50, 20
	return l
}

// step draws a transaction, applies it and compares the state with the model.
func (m *model) step(r *rapid.T, i int) {
	now := lease.Instant(i) * lease.Instant(time.Second)
	tx := Transaction{ID: fmt.Sprint("t", i), Author: "p"}
	switch rapid.IntRange(0, 4).Draw(r, "kind") {
	case 0:
		if len(m.applied) > 0 {
			m.repeat(r, now)
		}
		return
	case 1:
		record, err := m.state.Leases().Acquire("d", rapid.SampledFrom([]string{"p", "q"}).Draw(r, "holder"), now)
		if err != nil {
			return
		}
		tx.Operations = []Operation{{Lease: &record}}
	default:
		m.drawDocuments(r, &tx, i)
	}
	m.apply(r, tx, now)
	m.compare(r)
	if rapid.IntRange(0, 9).Draw(r, "snapshot") == 0 {
		m.restored = newTestState(m.t, m.limits())
		if err := m.restored.Load(bytes.NewReader(save(r, m.state)), now); err != nil {
			r.Fatal(err)
		}
	}
}

// repeat applies a transaction that was applied before.
func (m *model) repeat(r *rapid.T, now lease.Instant) {
	tx := m.applied[rapid.IntRange(0, len(m.applied)-1).Draw(r, "which")]
	before := m.state.Revision()
	if got := m.state.Apply(tx, now); !got.Duplicate || m.state.Revision() != before {
		r.Fatalf("a repeat of %s: %+v", tx.ID, got)
	}
	if m.restored != nil {
		m.restored.Apply(tx, now)
	}
}

func (m *model) drawDocuments(r *rapid.T, tx *Transaction, i int) {
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string]).Draw(r, "keys") {
		tx.Operations = append(tx.Operations, Operation{Key: key, Value: fmt.Sprint(i), Delete: rapid.IntRange(0, 4).Draw(r, "delete") == 0})
	}
	if rapid.Bool().Draw(r, "if") {
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "if key")
		tx.Conditions = []Condition{{Key: key, Version: rapid.SampledFrom([]uint64{0, 1, m.versions[key]}).Draw(r, "version")}}
	}
}

// apply applies a transaction to the state and to the model.
func (m *model) apply(r *rapid.T, tx Transaction, now lease.Instant) {
	want := true
	for _, c := range tx.Conditions {
		want = want && m.versions[c.Key] == c.Version
	}
	got := m.state.Apply(tx, now)
	if got.Committed != want {
		r.Fatalf("%+v: %+v, want committed %v", tx, got, want)
	}
	m.applied = append(m.applied, tx)
	if m.restored != nil {
		m.restored.Apply(tx, now)
	}
	if !got.Committed {
		return
	}
	for _, o := range tx.Operations {
		switch {
		case o.Lease != nil:
			if o.Lease.Token <= m.highestToken {
				r.Fatalf("token %d after %d", o.Lease.Token, m.highestToken)
			}
			m.highestToken = o.Lease.Token
		case o.Delete:
			delete(m.documents, o.Key)
			delete(m.versions, o.Key)
		default:
			m.documents[o.Key], m.versions[o.Key] = o.Value, got.Revision
		}
	}
}

// compare compares the state's documents with the model's.
func (m *model) compare(r *rapid.T) {
	got := map[string]string{}
	for _, d := range m.state.List("") {
		got[d.Key] = d.Value
		if d.Version != m.versions[d.Key] {
			r.Fatalf("%s has version %d, want %d", d.Key, d.Version, m.versions[d.Key])
		}
	}
	if !maps.Equal(got, m.documents) {
		r.Fatalf("documents %v, want %v", got, m.documents)
	}
}

func save(t interface{ Fatal(...any) }, s *State) []byte {
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}
