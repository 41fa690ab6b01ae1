package fleet

import (
	"errors"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// preferredClient returns a client of the member of the store that is asked first now, and its turn.
func (p *Participant) preferredClient() (c store.Client, turn int64) {
	turn = p.preferredMember.Load()
	return p.clientAt(turn), turn
}

func (p *Participant) clientAt(turn int64) store.Client {
	members := p.options.StoreMembers
	return store.Client{Address: members[turn%int64(len(members))], Timeout: p.options.RequestTimeout}
}

// skipMember records that the member of a turn gave no answer: from now on the next one is asked first,
// unless another goroutine has seen to that already. (Were each to go on by one, they could come round to the
// same member.)
func (p *Participant) skipMember(turn int64) { p.preferredMember.CompareAndSwap(turn, turn+1) }

// tryMembers calls do with one member after the other until one answers. That one is asked first from now on.
func (p *Participant) tryMembers(do func(c store.Client) error) (err error) {
	turn := p.preferredMember.Load()
	for i := range int64(len(p.options.StoreMembers)) {
		if err = do(p.clientAt(turn + i)); err == nil || errors.Is(err, store.ErrConflict) {
			p.preferredMember.CompareAndSwap(turn, turn+i)
			return err
		}
	}
	return err
}

// requestLease asks one member about a task's lease. If it gives no answer, the next request goes to the next one.
func (p *Participant) requestLease(task string, request store.LeaseRequest) (lease.Record, error) {
	c, turn := p.preferredClient()
	record, err := c.RequestLease(task, request)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		p.skipMember(turn)
	}
	return record, err
}

// transact asks members to commit a transaction until one says whether it did. The error is store.ErrConflict
// if a condition did not hold.
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
