package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/daemon"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// fleetCmd contains the commands that read and change the fleet's state in the store.
type fleetCmd struct {
	Admin   string          `help:"Address of a store member's HTTP interface for operators." required:""`
	Status  fleetStatusCmd  `cmd:"" help:"Show the problems in the fleet, each with the action to take; exits with 1 if there are any."`
	Owners  fleetOwnersCmd  `cmd:"" help:"Show the holder of each duty, with its fencing token and the time left on its lease."`
	History fleetHistoryCmd `cmd:"" help:"Show the latest changes: when, by whom and why."`
	Show    fleetShowCmd    `cmd:"" help:"Print documents with their versions."`
	Put     fleetPutCmd     `cmd:"" help:"Set or delete a document if it still has the given version."`
	Want    fleetWantCmd    `cmd:"" help:"Set whether a node should be in or out of service; the node fetches this desired state itself."`
	Budget  fleetBudgetCmd  `cmd:"" help:"Show or set the budgets: how many nodes may be out of service at once."`
	Drain   fleetDrainCmd   `cmd:"" help:"Request that nodes go out of service as soon as the budgets permit it."`
	Undrain fleetUndrainCmd `cmd:"" help:"Withdraw drain requests; the nodes return to service."`
	Outs    fleetOutsCmd    `cmd:"" help:"List the nodes that are out of service or wait for a permit, and what they wait for."`
	Halt    fleetHaltCmd    `cmd:"" help:"Halt voluntary drains; returns once none can start on any node."`
	Resume  fleetResumeCmd  `cmd:"" help:"Lift a halt, so that drains can start again."`
	Members membersCmd      `cmd:"" help:"List the members of the store; add, promote or remove one, or transfer the leadership."`
	Backup  fleetBackupCmd  `cmd:"" help:"Write the store's whole content, confirmed by a majority, to a file."`
	Restore fleetRestoreCmd `cmd:"" help:"Restore a backup on all members."`
}

func (c *fleetCmd) client() store.Client {
	state := stateCmd{Admin: c.Admin}
	return state.client()
}

// describeStatus returns how current a read is.
func describeStatus(s store.ReadStatus) string {
	switch {
	case s.Confirmed:
		return fmt.Sprintf("revision %d, confirmed by a majority", s.Revision)
	case s.AgeMS < 0:
		return fmt.Sprintf("revision %d; this member has not heard of a leader since its start: ask another member", s.Revision)
	}
	return fmt.Sprintf("revision %d, as known to this member up to %v ago", s.Revision, time.Duration(s.AgeMS)*time.Millisecond)
}

type fleetStatusCmd struct{}

// nodeReport holds the fields of a node's report that are shown.
type nodeReport struct {
	State   string `json:"state"`
	Version string `json:"version"`
	Since   int64  `json:"since"`
	Running int    `json:"running"`
	Held    int    `json:"held"`
	Well    bool   `json:"well"`
}

func (fleetStatusCmd) Run(_ *slog.Logger) error {
	c := grammar.Fleet.client()
	docs, seen, err := c.Documents("", false)
	var problems []string
	if err != nil {
		if docs, seen, err = c.Documents("", true); err != nil {
			return fmt.Errorf("%w; ask another member of the store", err)
		}
		problems = append(problems, "no majority of the store's members confirms this read, so nothing can be changed. Start the members that are down, or repair the links between them")
	}
	owners, _, err := c.Leases()
	if err != nil {
		return err
	}
	problems = append(problems, memberProblems(c)...)
	fmt.Println(describeStatus(seen))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tSTATE\tVERSION\tSINCE\tRUNNING\tHELD")
	for _, d := range docs {
		switch kind, name, _ := strings.Cut(d.Key, "/"); kind {
		case "node":
			var r nodeReport
			if err := json.Unmarshal([]byte(d.Value), &r); err != nil {
				problems = append(problems, fmt.Sprintf("node %s: invalid report: %v", name, err))
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", name, r.State, r.Version, time.UnixMilli(r.Since).UTC().Format(time.RFC3339), r.Running, r.Held)
			if !r.Well && r.State == "ready" {
				problems = append(problems, fmt.Sprintf("node %s serves but is unhealthy: its callers are sent to other nodes; see \"Which limit binds?\" in docs/operators/deployment.md", name))
			}
		case "silent":
			var m struct {
				By    string `json:"by"`
				Since int64  `json:"since"`
			}
			if err := json.Unmarshal([]byte(d.Value), &m); err == nil {
				problems = append(problems, fmt.Sprintf("node %s has been silent since %s (marked by %s): check whether its process runs and reaches the store. It may still be serving", name, time.UnixMilli(m.Since).UTC().Format(time.RFC3339), m.By))
			}
		case "duty":
			var r leasedtask.Record
			if err := json.Unmarshal([]byte(d.Value), &r); err == nil && r.State == leasedtask.StateFailed {
				problems = append(problems, fmt.Sprintf("duty %s: job %s failed at step %d, %d times: %s. A new job starts in the next period", name, r.JobID, r.Step, r.FailedAttempts, r.FailureReason))
			}
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, o := range owners {
		if o.Holder != "" && o.RemainingMS == 0 {
			problems = append(problems, fmt.Sprintf("duty %s: the lease of %s expired and no node has requested it since: check whether any node with [fleet] reaches the store", o.Task, o.Holder))
		}
	}
	if len(problems) == 0 {
		fmt.Println("nothing is wrong")
		return nil
	}
	for _, x := range problems {
		fmt.Println("WRONG:", x)
	}
	return daemon.ExitCode(1)
}

// memberSilence is the time without contact, several heartbeats, after which a member counts as a problem.
const memberSilence = 5 * time.Second

// memberProblems returns the problems of the store's members, each with the action to take.
func memberProblems(c store.Client) (problems []string) {
	if m, err := c.Members(true); err == nil && m.ExclusionReason != "" {
		problems = append(problems, fmt.Sprintf("member %s takes no part in the store: %s", m.ReportedBy, m.ExclusionReason))
	}
	m, err := c.Members(false)
	if err != nil {
		return problems // the lack of a leader is reported already
	}
	voters, reachable := 0, 0
	for _, x := range m.Members {
		if !x.Voter {
			problems = append(problems, fmt.Sprintf("member %s is a learner without a vote: run \"fleet members promote %s\" once it has caught up (%d entries behind)", x.Name, x.Name, x.Lag))
			continue
		}
		if voters++; x.Leader || x.SinceContact >= 0 && x.SinceContact < memberSilence {
			reachable++
			continue
		}
		problems = append(problems, fmt.Sprintf("member %s has not answered the leader lately: start it or repair its links; \"fleet --admin ITS-ADDRESS members --local\" shows whether it is excluded, and why", x.Name))
	}
	if voters > 1 && reachable == quorum.Majority(voters) {
		problems = append(problems, fmt.Sprintf("%d of %d voters are reachable: if one more is lost, nothing can be changed", reachable, voters))
	}
	if voters%2 == 0 && voters > 0 {
		problems = append(problems, fmt.Sprintf("%d voters tolerate no more losses than %d: promote one more or remove one", voters, voters-1))
	}
	return problems
}

type fleetOwnersCmd struct{}

func (fleetOwnersCmd) Run(_ *slog.Logger) error {
	owners, seen, err := grammar.Fleet.client().Leases()
	if err != nil {
		return err
	}
	fmt.Println(describeStatus(seen))
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tHOLDER\tTOKEN\tSTATE")
	for _, o := range owners {
		state := fmt.Sprintf("held, %v left", time.Duration(o.RemainingMS)*time.Millisecond)
		switch {
		case o.Holder == "":
			state = "returned: free"
		case o.RemainingMS == 0:
			state = "expired: free for any node; writes of this holder are rejected once another node holds it"
		case o.Successor != "":
			state = "being handed over to " + o.Successor
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", o.Task, o.Holder, o.Token, state)
	}
	return w.Flush()
}

type fleetHistoryCmd struct {
	After uint64 `help:"Show only changes after this revision."`
}

func (c *fleetHistoryCmd) Run(_ *slog.Logger) error {
	changes, seen, forgotten, err := grammar.Fleet.client().Changes("", c.After, 0)
	if err != nil {
		return err
	}
	if forgotten && c.After == 0 {
		fmt.Printf("changes up to revision %d are no longer kept\n", seen.HistoryStart)
		if changes, seen, forgotten, err = grammar.Fleet.client().Changes("", seen.HistoryStart, 0); err != nil {
			return err
		}
	}
	if forgotten {
		return fmt.Errorf("not all changes after revision %d are kept: use --after with %d to %d", c.After, seen.HistoryStart, seen.Revision)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tWHEN\tBY\tWHAT\tWHY")
	for _, x := range changes {
		what := fmt.Sprintf("%s = %.60q", x.Key, x.Value)
		switch {
		case x.Lease != nil:
			what = fmt.Sprintf("duty %s: %s, token %d", x.Lease.Task, x.Lease.Holder, x.Lease.Token)
		case x.Deleted:
			what = x.Key + " deleted"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", x.Revision, time.UnixMilli(x.UnixMillis).UTC().Format(time.RFC3339), x.Author, what, x.Reason)
	}
	return w.Flush()
}

type fleetShowCmd struct {
	Prefix string `arg:"" optional:"" help:"Show only documents whose keys begin with this prefix."`
	Local  bool   `help:"Show the documents as this member has them, without confirmation by the others; works without a majority."`
}

func (c *fleetShowCmd) Run(_ *slog.Logger) error {
	docs, seen, err := grammar.Fleet.client().Documents(c.Prefix, c.Local)
	if err != nil {
		return fmt.Errorf("%w; --local shows what this member has", err)
	}
	fmt.Println(describeStatus(seen))
	for _, d := range docs {
		fmt.Printf("%s\t%d\t%s\n", d.Key, d.Version, d.Value)
	}
	return nil
}

type fleetPutCmd struct {
	Key     string `arg:"" help:"The document's key."`
	Value   string `arg:"" optional:"" help:"The document's new value."`
	Delete  bool   `help:"Delete the document."`
	Version uint64 `help:"The version that the document must still have; 0: it must not exist." required:""`
	By      string `help:"Who makes the change." env:"USER" required:""`
	Why     string `help:"Reason for the change; kept in the history." required:""`
	ID      string `help:"Id of this request: a request repeated with the same id is applied only once."`
}

func (c *fleetPutCmd) Run(_ *slog.Logger) error {
	if c.Delete && c.Value != "" {
		return errors.New("a document is deleted or given a value, not both")
	}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	r, err := grammar.Fleet.client().Commit(document.Transaction{ID: c.ID, Author: c.By, Reason: c.Why,
		Conditions: []document.Condition{{Key: c.Key, Version: c.Version}}, Operations: []document.Operation{{Key: c.Key, Value: c.Value, Delete: c.Delete}}})
	switch {
	case errors.Is(err, store.ErrConflict):
		return err
	case err != nil:
		return fmt.Errorf("%w; if the change may have been made, repeat the command with --id %s", err, c.ID)
	}
	fmt.Printf("revision %d\n", r.Revision)
	return nil
}

// setIfUnchanged sets a document if it still has the given version, or deletes it if value is empty.
func setIfUnchanged(client store.Client, r author, key string, version uint64, value string) (document.Result, error) {
	return client.Commit(document.Transaction{ID: rand.Text(), Author: r.By, Reason: r.Why, Conditions: []document.Condition{{Key: key, Version: version}},
		Operations: []document.Operation{{Key: key, Value: value, Delete: value == ""}}})
}

type fleetWantCmd struct {
	Node  string `arg:"" help:"The node's name."`
	State string `arg:"" enum:"in,out" help:"Desired state: in or out of service."`
	author
}

func (c *fleetWantCmd) Run(_ *slog.Logger) error {
	if c.Node == "" || strings.Contains(c.Node, "/") {
		return fmt.Errorf("node %q: the name must not be empty or contain slashes", c.Node)
	}
	client := grammar.Fleet.client()
	key := desiredstate.KeyPrefix + c.Node
	current, _, err := client.Document(key, false)
	if err != nil {
		return err
	}
	text, err := json.Marshal(desiredstate.State{OutOfService: c.State == "out", RequestedBy: c.By, Reason: c.Why})
	if err != nil { // strings always marshal
		panic(err)
	}
	r, err := setIfUnchanged(client, c.author, key, current.Version, string(text))
	if err != nil {
		return err
	}
	fmt.Printf("revision %d; \"fleet show node/%s\" shows when the node has applied it\n", r.Revision, c.Node)
	return nil
}
