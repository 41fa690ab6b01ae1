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

// drainView is the fleet as the node that grants drain permits sees it, with the versions of the documents that it was read from.
type drainView struct {
	fleetstate.View
	versions fleetstate.Versions
	status   store.ReadStatus
}

// readDrainView reads the view, confirmed by a majority.
func readDrainView(c store.Client) (v drainView, err error) {
	docs, status, err := c.Documents("", false)
	if err != nil {
		return v, fmt.Errorf("%w; without a majority nothing can be permitted, and nothing begins", err)
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
	File string `help:"Set the budgets that this file has, as [[budget]] sections; without it they are shown." type:"existingfile"`
	By   string `help:"Who sets them." env:"USER"`
	Why  string `help:"Why; kept in the history."`
}

func (c *fleetBudgetCmd) Run(_ *slog.Logger) error {
	ask := grammar.Fleet.client()
	v, err := readDrainView(ask)
	if err != nil {
		return err
	}
	if c.File == "" {
		fmt.Println(describeStatus(v.status))
		for _, r := range v.Budgets {
			fmt.Println(fleetstate.Encode(r))
		}
		if len(v.Budgets) == 0 {
			fmt.Println("no budget is set: nothing may go out by choice")
		}
		room := disruption.Headroom(v.Budgets, v.BudgetMembers(0))
		for _, group := range slices.Sorted(maps.Keys(room)) {
			fmt.Printf("%s: %d more may go out now\n", group, room[group])
		}
		return nil
	}
	if c.By == "" || c.Why == "" {
		return errors.New("--by and --why are wanted: budgets are changed on record")
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	rules, err := parseBudgets(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	r, err := setIfUnchanged(ask, author{c.By, c.Why}, fleetstate.BudgetsKey, v.versions[fleetstate.BudgetsKey], fleetstate.Encode(rules))
	if err != nil {
		return err
	}
	fmt.Printf("revision %d: %d budgets\n", r.Revision, len(rules))
	for _, o := range disruption.Exceeded(rules, v.BudgetMembers(0)) {
		fmt.Printf("of %s %d may be out and %d are: nothing of it begins until it fits\n", o.Group, o.MaxUnavailable, len(o.Unavailable))
	}
	return nil
}

// parseBudgets reads a file of budgets.
func parseBudgets(text []byte) (disruption.Budgets, error) {
	var file struct {
		Budget disruption.Budgets `toml:"budget"`
	}
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, err
	}
	if len(file.Budget) == 0 {
		return nil, errors.New("it has no budget; write such as [[budget]] group = \"zone\" most_out = 1")
	}
	return file.Budget, file.Budget.Validate()
}

type fleetDrainCmd struct {
	Nodes  []string      `arg:"" help:"The nodes' names, zone=Z for all nodes of a zone, or server=ADDRESS for a server below."`
	Until  time.Duration `help:"From now, after which they come back by themselves; 0: until undrain."`
	Within time.Duration `help:"In which each should be empty; one that is not says so."`
	Urgent bool          `help:"Before what is planned."`
	author
}

// resolveNames are the nodes that are meant.
func resolveNames(v drainView, words []string) (list []string, err error) {
	for _, w := range words {
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
			return nil, fmt.Errorf("%q: no such node has reported; \"fleet status\" lists them", w)
		}
	}
	return list, nil
}

func (c *fleetDrainCmd) Run(_ *slog.Logger) error {
	ask := grammar.Fleet.client()
	v, err := readDrainView(ask)
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
			fmt.Printf("%s: asked for already, by %s: %s\n", node, was.RequestedBy, was.Reason)
			continue
		}
		a.ID = rand.Text()
		key := fleetstate.RequestKey(node)
		if _, err := setIfUnchanged(ask, c.author, key, v.versions[key], fleetstate.Encode(a)); err != nil {
			return fmt.Errorf("%s: %w", node, err)
		}
		fmt.Printf("%s: asked for; \"fleet outs\" says when it is out, and what it waits for\n", node)
	}
	return nil
}

type fleetUndrainCmd struct {
	Nodes []string `arg:"" help:"The nodes' names, zone=Z for all nodes of a zone, or server=ADDRESS for a server below."`
	author
}

func (c *fleetUndrainCmd) Run(_ *slog.Logger) error {
	ask := grammar.Fleet.client()
	v, err := readDrainView(ask)
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
			fmt.Printf("%s: nobody asked for it\n", node)
			continue
		}
		if _, err := setIfUnchanged(ask, c.author, key, v.versions[key], ""); err != nil {
			return fmt.Errorf("%s: %w", node, err)
		}
		fmt.Printf("%s: taken back\n", node)
	}
	return nil
}

type fleetHaltCmd struct {
	Release string `help:"Halt only what this release does; without it, everything voluntary."`
	author
}

// Run halts, and returns once nothing can begin any more, however late a process wakes up.
func (c *fleetHaltCmd) Run(_ *slog.Logger) error {
	return halt(grammar.Fleet.client(), cmp.Or(c.Release, fleetstate.HaltAll), c.author)
}

func halt(ask store.Client, what string, r author) error {
	if strings.Contains(what, "/") {
		return fmt.Errorf("release %q: a name without slashes is wanted", what)
	}
	open, err := fleet.Halt(ask, what, r.By, r.Why)
	if err != nil {
		return err
	}
	fmt.Printf("halted: nothing of it begins any more. Permits: %d; who is out stays out, or comes back when what asked for it is taken back\n", open)
	return nil
}

type fleetResumeCmd struct {
	Release string `help:"Let this release go on; without it, everything."`
	author
}

func (c *fleetResumeCmd) Run(_ *slog.Logger) error {
	return resume(grammar.Fleet.client(), cmp.Or(c.Release, fleetstate.HaltAll), c.author)
}

func resume(ask store.Client, what string, r author) error {
	was, _, err := ask.Document(fleetstate.HaltKeyPrefix+what, false)
	if err != nil {
		return err
	}
	if was.Version == 0 {
		fmt.Println("it is not halted")
		return nil
	}
	r.Why = "resume " + what + ": " + r.Why
	made, err := setIfUnchanged(ask, r, was.Key, was.Version, "")
	if err != nil {
		return err
	}
	fmt.Printf("revision %d: it goes on\n", made.Revision)
	return nil
}

type fleetOutsCmd struct{}

// Run shows who is out, who waits, and for what.
func (fleetOutsCmd) Run(_ *slog.Logger) error {
	v, err := readDrainView(grammar.Fleet.client())
	if err != nil {
		return err
	}
	fmt.Println(describeStatus(v.status))
	for _, what := range slices.Sorted(maps.Keys(v.Halted)) {
		fmt.Printf("HALTED: %s\n", what)
	}
	refused := map[string]disruption.Rejection{}
	step := (&drainpermit.Controller{Terms: store.DefaultLeaseTerms}).Decide(v.View, 0)
	for _, r := range step.Rejected {
		refused[r.Request.Member] = r
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
				held += ", longer than it was to take"
			}
			if m := v.Members[i]; m.Service != "" {
				held = confirmations(m)
			}
		}
		if r, no := refused[m.Name]; no {
			waits = strings.TrimPrefix(r.String(), m.Name+": ")
		}
		if a.FailureReason != "" {
			waits = "failed: " + a.FailureReason
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Labels["zone"], m.Availability, p.State, held, a.RequestedBy, a.Reason, waits)
	}
	return w.Flush()
}

// confirmations says whether a server below is out on every node's word.
func confirmations(m fleetstate.ObservedMember) string {
	ok, open, silent := m.DrainConfirmed()
	if ok {
		return "out, on every node's word"
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
