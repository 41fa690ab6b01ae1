package fleet

import (
	"errors"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// preferredClient returns a client of the preferred member of the store, and its index for skipMember.
func (p *Participant) preferredClient() (c store.Client, memberIndex int64) {
	memberIndex = p.preferredMember.Load()
	return p.clientAt(memberIndex), memberIndex
}

func (p *Participant) clientAt(memberIndex int64) store.Client {
	members := p.options.StoreMembers
	return store.Client{Address: members[memberIndex%int64(len(members))], Timeout: p.options.RequestTimeout}
}

// skipMember makes the next member the preferred one, because the member of the given index did not answer. It has
// no effect if another goroutine has already done so: if every goroutine advanced by one, they could return to the
// same member.
func (p *Participant) skipMember(memberIndex int64) {
	p.preferredMember.CompareAndSwap(memberIndex, memberIndex+1)
}

// tryMembers calls do with one member after the other until one answers, which becomes the preferred member.
func (p *Participant) tryMembers(do func(c store.Client) error) (err error) {
	memberIndex := p.preferredMember.Load()
	for i := range int64(len(p.options.StoreMembers)) {
		if err = do(p.clientAt(memberIndex + i)); err == nil || errors.Is(err, store.ErrConflict) {
			p.preferredMember.CompareAndSwap(memberIndex, memberIndex+i)
			return err
		}
	}
	return err
}

// requestLease sends a lease request to the preferred member. If it does not answer, the next member becomes the
// preferred one.
func (p *Participant) requestLease(task string, request store.LeaseRequest) (lease.Record, error) {
	c, memberIndex := p.preferredClient()
	record, err := c.RequestLease(task, request)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		p.skipMember(memberIndex)
	}
	return record, err
}

// transact sends a transaction to members until one answers whether it was committed. The error is
// store.ErrConflict if a condition did not hold.
func (p *Participant) transact(t document.Transaction) (result document.Result, err error) {
	err = p.tryMembers(func(c store.Client) (err error) {
		result, err = c.Commit(t)
		return err
	})
	return result, err
}

// documents reads documents from the first member that can confirm them by a majority.
func (p *Participant) documents(keyPrefix string) (docs []document.Document, err error) {
	err = p.tryMembers(func(c store.Client) (err error) {
		docs, _, err = c.Documents(keyPrefix, false)
		return err
	})
	return docs, err
}
