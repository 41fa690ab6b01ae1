package document

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"sloehitch/internal/control/lease"
)

// Rules for committing a transaction.
//
// The inputs are the transaction and this state, never a clock, so that all members reach the same decision.
//
//  1. A transaction whose id is remembered is a duplicate: it gets the result of the first one, whatever has changed
//     since. If its content differs, it is rejected. The latest Limits.RememberedRequests ids are remembered.
//  2. All conditions hold: a document still has the expected version, or a task is still held under the expected token.
//  3. Each lease operation is based on the task's current record (lease.Table.BasedOnCurrent).
//  4. After the transaction, the state is within its limits or no larger than before.
//
// Each committed transaction increments the revision, which becomes the version of all documents it sets.

// request is the stored outcome of one transaction.
type request struct {
	ID     string   `json:"id"`
	Digest [32]byte `json:"digest"`
	Result Result   `json:"result"`
}

// Apply commits a transaction if its conditions hold, at most once per id. Leases are timed from now, a reading of this
// member's clock.
func (s *State) Apply(t Transaction, now lease.Instant) Result {
	digest := requestDigest(t)
	if previous, duplicate := s.requests[t.ID]; duplicate {
		if previous.Digest != digest {
			return Result{Revision: s.revision, Reason: fmt.Sprintf("id %q was already used by another request", t.ID)}
		}
		result := previous.Result
		result.Duplicate = true
		return result
	}
	result := Result{Revision: s.revision, Reason: s.rejectionReason(t)}
	if result.Reason == "" {
		s.commit(t, now)
		result = Result{Committed: true, Revision: s.revision}
	}
	s.rememberRequest(request{t.ID, digest, result})
	return result
}

// requestDigest returns a digest that distinguishes requests with the same id. It leaves out the time at which an
// attempt was received.
func requestDigest(t Transaction) [sha256.Size]byte {
	t.UnixMillis = 0
	text, err := json.Marshal(t)
	if err != nil { // strings and numbers always marshal
		panic(err)
	}
	return sha256.Sum256(text)
}

func (s *State) rememberRequest(r request) {
	s.requests[r.ID] = r
	s.requestOrder = append(s.requestOrder, r.ID)
	if len(s.requestOrder) > s.limits.RememberedRequests {
		delete(s.requests, s.requestOrder[0])
		s.requestOrder = slices.Delete(s.requestOrder, 0, 1)
	}
}

// rejectionReason returns why a transaction can't be committed, or "" if it can.
func (s *State) rejectionReason(t Transaction) string {
	if err := s.Validate(t); err != nil {
		return err.Error()
	}
	for _, c := range t.Conditions {
		if reason := s.unmetReason(c); reason != "" {
			return reason
		}
	}
	return s.operationsReason(t.Operations)
}

// unmetReason returns why a condition does not hold, or "" if it does.
func (s *State) unmetReason(c Condition) string {
	if c.Task != "" {
		if r := s.leases.Get(c.Task); r.Token != c.Token || r.Holder == "" {
			return fmt.Sprintf("duty %s: token %d is not the one it is held under, which is %d", c.Task, c.Token, r.Token)
		}
		return ""
	}
	if d := s.documents[c.Key]; d.Version != c.Version {
		return fmt.Sprintf("%s: version %d, not %d", c.Key, d.Version, c.Version)
	}
	return ""
}

// operationsReason returns why operations can't be applied (an outdated lease or an exceeded limit), or "" if they can.
func (s *State) operationsReason(operations []Operation) string {
	count, bytes := len(s.documents), s.totalBytes
	for _, o := range operations {
		if o.Lease != nil {
			if reason := s.leaseReason(*o.Lease); reason != "" {
				return reason
			}
			continue
		}
		if d, exists := s.documents[o.Key]; exists {
			count--
			bytes -= d.bytes()
		}
		if !o.Delete {
			count++
			bytes += len(o.Key) + len(o.Value)
		}
	}
	if count > max(s.limits.MaxDocuments, len(s.documents)) || bytes > max(s.limits.MaxTotalBytes, s.totalBytes) {
		return fmt.Sprintf("full: %d documents of %d bytes together at most", s.limits.MaxDocuments, s.limits.MaxTotalBytes)
	}
	return ""
}

// leaseReason returns why a lease record can't be applied, or "" if it can.
func (s *State) leaseReason(r lease.Record) string {
	if !s.leases.BasedOnCurrent(r) {
		return fmt.Sprintf("duty %s: changed meanwhile", r.Task)
	}
	if !s.tasks[r.Task] && len(s.tasks) >= s.limits.MaxDocuments {
		return fmt.Sprintf("full: %d duties at most", s.limits.MaxDocuments)
	}
	return ""
}

// commit applies a transaction for which rejectionReason returned no reason.
func (s *State) commit(t Transaction, now lease.Instant) {
	s.revision++
	for _, o := range t.Operations {
		switch {
		case o.Lease != nil:
			s.leases.Apply(*o.Lease, now)
			s.tasks[o.Lease.Task] = true
		case o.Delete:
			s.remove(o.Key)
		default:
			s.put(Document{o.Key, o.Value, s.revision})
		}
		if !o.ExcludeFromHistory || o.Lease != nil {
			s.changes = append(s.changes, Change{
				Revision:   s.revision,
				Key:        o.Key,
				Value:      o.Value,
				Deleted:    o.Delete,
				Lease:      o.Lease,
				Author:     t.Author,
				Reason:     t.Reason,
				UnixMillis: t.UnixMillis,
			})
		}
	}
	s.trimHistory()
}
