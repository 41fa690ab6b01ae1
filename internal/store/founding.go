package store

import (
	"fmt"
	"sync"

	"sloehitch/internal/store/quorum"
)

// The rule by which a member founds a store.
//
// Inputs: the settings, whether the data directory is empty, and which members of a store have contacted this member.
//
// A member with an empty directory whose settings name no other member may start for the first time, or may have lost
// its directory after others had joined. It knows nobody whom it could ask, but the members of its store know it: a
// leader sends it entries, and a member without a leader requests its vote within two election timeouts, and each asks
// for its identity first. So it listens before it founds a store:
//
//   - No member of a store has contacted it in foundingPolls polls: it founds one.
//   - One has: it founds none. It asks those that contacted it, takes no part until the leader has taken its vote away,
//     and then starts as a learner (readmission.go).
//
// Polls are counted, not time, since a process that is stopped does not listen. Members that can't reach it during all
// polls go unnoticed; settings that name them let it ask (docs/operators/fleet.md).

// foundingPolls is how often a member polls, four times per election timeout, before it founds a store: five election timeouts, twice
// what a member without a leader may take to request a vote, and one more.
const foundingPolls = 20

// contacts are the members of a store that have contacted a member before it participates. It is safe for concurrent use.
type contacts struct {
	mu        sync.Mutex
	names     map[string]bool
	addresses map[string]bool // their addresses for operators
}

// add records a contact by the member of a store. adminAddress is empty if the contact does not tell it.
func (c *contacts) add(name, adminAddress string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.names == nil {
		c.names, c.addresses = map[string]bool{}, map[string]bool{}
	}
	c.names[name] = true
	if adminAddress != "" {
		c.addresses[adminAddress] = true
	}
}

// any returns the name of a member that has contacted this one; "" if none has.
func (c *contacts) any() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.names {
		return name
	}
	return ""
}

// adminAddresses returns the addresses for operators of the members that have contacted this one.
func (c *contacts) adminAddresses() (addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.addresses {
		addresses = append(addresses, address)
	}
	return addresses
}

// decideFounding applies the founding rule. It is called once per poll.
func (c *startCheck) decideFounding() (quorum.Decision, string) {
	c.polls++
	contact := c.store.contacts.any()
	switch {
	case contact != "" && !c.local.Joining:
		c.local.Joining = true // waits as a member that joins an existing store
		c.store.awaitsReadmission.Store(true)
		c.store.opts.Logger.Warn("a member of an existing store knows this member, whose data directory is empty; it founds no store and waits to be readmitted", "contact", contact)
	case contact == "" && c.polls < foundingPolls:
		return quorum.DecisionWait, "it has listened for members of an existing store for too short a time to found one"
	}
	decision, reason := c.decideByAnswers()
	if c.local.Joining && decision == quorum.DecisionWait {
		reason = fmt.Sprintf("%s knows this member, but its data directory is empty: it waits until the store's leader readmits it (%s)", contact, reason)
	}
	return decision, reason
}
