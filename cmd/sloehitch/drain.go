package main

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/fleet"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store"
)

// drainView is the fleet as seen by the node that grants drain permits, with the versions of the documents that it was read from.
type drainView struct {
	fleetstate.View
	versions fleetstate.Versions
	status   store.ReadStatus
}

// readDrainView reads the view from the store, confirmed by a majority of the members.
func readDrainView(c store.Client) (v drainView, err error) {
	docs, status, err := c.Documents("", false)
	if err != nil {
		return v, fmt.Errorf("%w; without a majority of the store's members no drain can be permitted or started", err)
	}
	v.status = status
	var decodeErr error
	v.View, v.versions, decodeErr = fleetstate.DecodeView(docs, fleetstate.DefaultDecoder, time.Now().UnixMilli())
	silent := map[string]bool{}
	for _, d := range docs {
		if name, marked := strings.CutPrefix(d.Key, "silent/"); marked {
			silent[name] = true
		}
	}
	for _, d := range docs {
		name, is := strings.CutPrefix(d.Key, "node/")
		if !is {
			continue
		}
		s := fleetstate.ObservedMember{Name: name}
		s.Unreadable = json.Unmarshal([]byte(d.Value), &s.Report) != nil
		s.SinceMS = s.Report.ProcessStartMS
		if silent[name] {
			s.Liveness = disruption.Silent
		}
		v.Members = append(v.Members, s)
	}
	v.View = v.WithUpstreams(fleet.UpstreamService)
	return v, decodeErr
}

type fleetBudgetCmd struct {
	File string `help:"Set the budgets to the [[budget]] sections of this file; without it the current budgets are shown." type:"existingfile"`
	By   string `help:"Who sets the budgets." env:"USER"`
	Why  string `help:"Reason for the change; kept in the history."`
}

func (c *fleetBudgetCmd) Run(_ *slog.Logger) error {
	client := grammar.Fleet.client()
	v, err := readDrainView(client)
	if err != nil {
		return err
	}
	if c.File == "" {
		fmt.Println(describeStatus(v.status))
		for _, r := range v.Budgets {
			fmt.Println(fleetstate.Encode(r))
		}
		if len(v.Budgets) == 0 {
			fmt.Println("no budget is set: no node may be drained")
		}
		headroom := disruption.Headroom(v.Budgets, v.BudgetMembers(0))
		for _, group := range slices.Sorted(maps.Keys(headroom)) {
			fmt.Printf("%s: %d more may be drained now\n", group, headroom[group])
		}
		return nil
	}
	if c.By == "" || c.Why == "" {
		return errors.New("--by and --why are required to set budgets: they are kept in the history")
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	rules, err := parseBudgets(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	r, err := setIfUnchanged(client, author{c.By, c.Why}, fleetstate.BudgetsKey, v.versions[fleetstate.BudgetsKey], fleetstate.Encode(rules))
	if err != nil {
		return err
	}
	fmt.Printf("revision %d: %d budgets\n", r.Revision, len(rules))
	for _, o := range disruption.Exceeded(rules, v.BudgetMembers(0)) {
		fmt.Printf("group %s: %d may be unavailable but %d are: no drain of it starts until the budget is met\n", o.Group, o.MaxUnavailable, len(o.Unavailable))
	}
	return nil
}

// parseBudgets parses and validates a file of budgets.
func parseBudgets(text []byte) (disruption.Budgets, error) {
	var file struct {
		Budget disruption.Budgets `toml:"budget"`
	}
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, err
	}
	if len(file.Budget) == 0 {
		return nil, errors.New("the file has no budget; write sections such as [[budget]] group = \"zone\" most_out = 1")
	}
	return file.Budget, file.Budget.Validate()
}

type fleetDrainCmd struct {
	Nodes  []string      `arg:"" help:"Names of nodes, zone=Z for all nodes of a zone, or server=ADDRESS for an upstream server."`
	Until  time.Duration `help:"Time from now after which the nodes return to service on their own; 0: not before undrain."`
	Within time.Duration `help:"Time within which each node must have no requests left; a node that exceeds it reports its drain as overdue."`
	Urgent bool          `help:"Grant this drain before drains that are not urgent."`
	author
}

// resolveNames returns the names of the nodes and servers that the arguments select.
func resolveNames(v drainView, args []string) (list []string, err error) {
	for _, w := range args {
		zone, all := strings.CutPrefix(w, "zone=")
		if address, server := strings.CutPrefix(w, "server="); server {
			w = fleetstate.UpstreamName(address)
		}
		found := false
		for _, m := range v.Members {
			if m.Name == w && !all || all && m.Service == "" && m.Report.Zone == zone {
				found = true
				if !slices.Contains(list, m.Name) {
					list = append(list, m.Name)
				}
			}
		}
		if !found {
			return nil, fmt.Errorf("%q: no such node has reported; \"fleet status\" lists the nodes", w)
		}
	}
	return list, nil
}

func (c *fleetDrainCmd) Run(_ *slog.Logger) error {
	client := grammar.Fleet.client()
	v, err := readDrainView(client)
	if err != nil {
		return err
	}
	nodes, err := resolveNames(v, c.Nodes)
	if err != nil {
		return err
	}
	a := fleetstate.DrainRequest{RequestedBy: c.By, Reason: c.Why, RequestedAtMS: v.NowMS, Urgent: c.Urgent, DrainTimeoutMS: c.Within.Milliseconds()}
	if c.Until > 0 {
		a.ExpiresAtMS = v.NowMS + c.Until.Milliseconds()
	}
	for _, node := range nodes {
		if was, asked := v.Requests[node]; asked && was.FailureReason == "" {
			fmt.Printf("%s: drain already requested by %s: %s\n", node, was.RequestedBy, was.Reason)
			continue
		}
		a.ID = rand.Text()
		key := fleetstate.RequestKey(node)
		if _, err := setIfUnchanged(client, c.author, key, v.versions[key], fleetstate.Encode(a)); err != nil {
			return fmt.Errorf("%s: %w", node, err)
		}
		fmt.Printf("%s: drain requested; \"fleet outs\" shows when it is out of service, and what it waits for\n", node)
	}
	return nil
}

type fleetUndrainCmd struct {
	Nodes []string `arg:"" help:"Names of nodes, zone=Z for all nodes of a zone, or server=ADDRESS for an upstream server."`
	author
}

func (c *fleetUndrainCmd) Run(_ *slog.Logger) error {
	client := grammar.Fleet.client()
	v, err := readDrainView(client)
	if err != nil {
		return err
	}
	nodes, err := resolveNames(v, c.Nodes)
	if err != nil {
		return err
	}
	for _, node := range nodes {
		key := fleetstate.RequestKey(node)
		if _, asked := v.Requests[node]; !asked {
			fmt.Printf("%s: no drain is requested\n", node)
			continue
		}
		if _, err := setIfUnchanged(client, c.author, key, v.versions[key], ""); err != nil {
			return fmt.Errorf("%s: %w", node, err)
		}
		fmt.Printf("%s: drain request withdrawn\n", node)
	}
	return nil
}

type fleetHaltCmd struct {
	Release string `help:"Halt only the drains of this release; without it, all voluntary drains."`
	author
}

// Run halts drains. It returns once no drain can start any more, even by a process that was suspended meanwhile.
func (c *fleetHaltCmd) Run(_ *slog.Logger) error {
	return halt(grammar.Fleet.client(), cmp.Or(c.Release, fleetstate.HaltAll), c.author)
}

func halt(client store.Client, scope string, r author) error {
	if strings.Contains(scope, "/") {
		return fmt.Errorf("release %q: the name must not contain slashes", scope)
	}
	open, err := fleet.Halt(client, scope, r.By, r.Why)
	if err != nil {
		return err
	}
	fmt.Printf("halted: no further drain that the halt covers can start. Open permits: %d; nodes that are out of service stay out until their drain requests are withdrawn\n", open)
	return nil
}

type fleetResumeCmd struct {
	Release string `help:"Resume only the drains of this release; without it, lift the halt of all voluntary drains."`
	author
}

func (c *fleetResumeCmd) Run(_ *slog.Logger) error {
	return resume(grammar.Fleet.client(), cmp.Or(c.Release, fleetstate.HaltAll), c.author)
}

func resume(client store.Client, scope string, r author) error {
	current, _, err := client.Document(fleetstate.HaltKeyPrefix+scope, false)
	if err != nil {
		return err
	}
	if current.Version == 0 {
		fmt.Println("nothing to resume: no halt is in force")
		return nil
	}
	r.Why = "resume " + scope + ": " + r.Why
	made, err := setIfUnchanged(client, r, current.Key, current.Version, "")
	if err != nil {
		return err
	}
	fmt.Printf("revision %d: resumed\n", made.Revision)
	return nil
}

type fleetOutsCmd struct{}

// Run lists the nodes that are out of service or wait for a permit, and what they wait for.
func (fleetOutsCmd) Run(_ *slog.Logger) error {
	v, err := readDrainView(grammar.Fleet.client())
	if err != nil {
		return err
	}
	fmt.Println(describeStatus(v.status))
	for _, what := range slices.Sorted(maps.Keys(v.Halted)) {
		fmt.Printf("HALTED: %s\n", what)
	}
	rejections := map[string]disruption.Rejection{}
	step := (&drainpermit.Controller{Terms: store.DefaultLeaseTerms}).Decide(v.View, 0)
	for _, r := range step.Rejected {
		rejections[r.Request.Member] = r
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tCOUNTS AS\tPERMIT\tHELD\tASKED BY\tWHY\tWAITS FOR")
	for _, m := range v.BudgetMembers(0) {
		a, asked := v.Requests[m.Name]
		p, permitted := v.Permits[m.Name]
		if m.Availability == disruption.Available && !asked {
			continue
		}
		held, waits := "", ""
		if i := slices.IndexFunc(v.Members, func(s fleetstate.ObservedMember) bool { return s.Name == m.Name }); i >= 0 && permitted {
			r := v.Members[i].Report
			held = fmt.Sprint(r.Running + r.Queued)
			if r.DrainOverdue {
				held += ", drain overdue"
			}
			if m := v.Members[i]; m.Service != "" {
				held = confirmations(m)
			}
		}
		if r, no := rejections[m.Name]; no {
			waits = strings.TrimPrefix(r.String(), m.Name+": ")
		}
		if a.FailureReason != "" {
			waits = "failed: " + a.FailureReason
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Labels["zone"], m.Availability, p.State, held, a.RequestedBy, a.Reason, waits)
	}
	return w.Flush()
}

// confirmations returns whether all nodes have confirmed that they no longer use an upstream server, or which have not.
func confirmations(m fleetstate.ObservedMember) string {
	ok, open, silent := m.DrainConfirmed()
	if ok {
		return "out, confirmed by every node"
	}
	var text []string
	if len(open) > 0 {
		text = append(text, "still used by "+strings.Join(open, ", "))
	}
	if len(silent) > 0 {
		text = append(text, "silent: "+strings.Join(silent, ", "))
	}
	return strings.Join(text, "; ")
}
