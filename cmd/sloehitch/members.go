package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"text/tabwriter"
	"time"

	"sloehitch/internal/store"
	"sloehitch/internal/store/quorum"
)

// membersCmd contains the commands that show and change the members of the store.
type membersCmd struct {
	List    membersListCmd   `cmd:"" default:"withargs" help:"List the members of the store as its leader sees them."`
	Add     membersAddCmd    `cmd:"" help:"Add a member as a learner: it receives the store's content and has no vote yet. Its own settings must have join = true."`
	Promote membersChangeCmd `cmd:"" help:"Give a vote to a learner that has caught up."`
	Remove  membersChangeCmd `cmd:"" help:"Remove a member; rejected if the others would have no majority."`
	Lead    membersChangeCmd `cmd:"" help:"Transfer the leadership to a member."`
}

type membersListCmd struct {
	Local bool `help:"Show the members as this member sees them, and why it takes no part in the store if it is excluded."`
}

func (c *membersListCmd) Run(_ *slog.Logger) error {
	m, err := grammar.Fleet.client().Members(c.Local)
	if err != nil {
		return fmt.Errorf("%w; --local shows what this member knows", err)
	}
	return printMembers(m)
}

func printMembers(m store.Membership) error {
	if m.ExclusionReason != "" {
		fmt.Printf("%s takes no part in the store: %s\n", m.ReportedBy, m.ExclusionReason)
		return nil
	}
	if len(m.Members) == 0 {
		fmt.Println("the store has a single member, this process")
		return nil
	}
	fmt.Printf("store %s, as %s sees it; leader %s\n", m.StoreID, m.ReportedBy, m.Leader)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tPART\tHEARD\tBEHIND\tRAFT\tADMIN")
	for _, x := range m.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", x.Name, roleOf(x), contactOf(x, m), lagOf(x, m), x.RaftAddress, x.AdminAddress)
	}
	return w.Flush()
}

func roleOf(m quorum.Member) string {
	switch {
	case m.Leader:
		return "leads"
	case m.Voter:
		return "votes"
	}
	return "learns"
}

func contactOf(x quorum.Member, m store.Membership) string {
	switch {
	case m.ReportedBy != m.Leader:
		return "?"
	case x.Leader:
		return "-"
	case x.SinceContact < 0:
		return "never"
	}
	return x.SinceContact.Round(time.Millisecond).String() + " ago"
}

func lagOf(x quorum.Member, m store.Membership) string {
	if m.ReportedBy != m.Leader {
		return "?"
	}
	return fmt.Sprint(x.Lag)
}

// author holds the flags for who makes a change, and why. They are kept in the history.
type author struct {
	By  string `help:"Who makes the change." env:"USER" required:""`
	Why string `help:"Reason for the change; kept in the history." required:""`
}

type membersAddCmd struct {
	Name        string `arg:"" help:"The member's name, as in its own configuration."`
	Raft        string `help:"Address at which the other members reach it." required:""`
	MemberAdmin string `help:"Address at which operators reach it." required:""`
	author
}

func (c *membersAddCmd) Run(_ *slog.Logger) error {
	return changeMembers(store.MembershipChange{Action: "add", Name: c.Name, RaftAddress: c.Raft, AdminAddress: c.MemberAdmin, Author: c.By, Reason: c.Why})
}

type membersChangeCmd struct {
	Name string `arg:"" help:"The member's name."`
	author
}

func (c *membersChangeCmd) run(action string) error {
	return changeMembers(store.MembershipChange{Action: action, Name: c.Name, Author: c.By, Reason: c.Why})
}

// Run makes the change of the command that c belongs to: promote, remove or lead.
func (c *membersChangeCmd) Run(_ *slog.Logger) error {
	m := &grammar.Fleet.Members
	switch c {
	case &m.Promote:
		return c.run("promote")
	case &m.Remove:
		return c.run("remove")
	}
	return c.run("lead")
}

func changeMembers(a store.MembershipChange) error {
	m, err := grammar.Fleet.client().ChangeMembers(a)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("%w; the command may be repeated, the change is made only once", err)
	}
	if err != nil {
		return err
	}
	return printMembers(m)
}

type fleetBackupCmd struct {
	File string `arg:"" help:"The file to write; it must not exist yet." type:"path"`
}

func (c *fleetBackupCmd) Run(_ *slog.Logger) (err error) {
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if err = errors.Join(grammar.Fleet.client().Backup(f), f.Sync(), f.Close()); err != nil {
		return errors.Join(err, os.Remove(c.File)) // a partial backup is useless
	}
	return nil
}

type fleetRestoreCmd struct {
	File string `arg:"" help:"The backup file." type:"existingfile"`
	author
}

func (c *fleetRestoreCmd) Run(_ *slog.Logger) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	seen, err := grammar.Fleet.client().Restore(text, c.By, c.Why)
	if err != nil {
		return err
	}
	fmt.Printf("restored; the store continues from revision %d. Changes made since the backup are lost; no node holds a duty, and each is granted again after the duration of a lease\n", seen.Revision)
	return nil
}

// storeCmd contains the commands for the folder of a member that does not run.
type storeCmd struct {
	Folder  storeFolderCmd  `cmd:"" help:"Show which member a folder belongs to, and its last entry."`
	Recover storeRecoverCmd `cmd:"" help:"Recover from the permanent loss of a majority: continue with this member alone, from its folder. Read docs/operators/fleet.md first."`
}

type storeFolderCmd struct {
	Dir  string `arg:"" help:"The member's folder (dir)." type:"existingdir"`
	Name string `help:"The member's name." required:""`
}

func (c *storeFolderCmd) Run(log *slog.Logger) error {
	f, err := store.InspectDataDir(c.Dir, c.Name, log)
	if err != nil {
		return err
	}
	fmt.Println(formatDataDir(f))
	return nil
}

func formatDataDir(f store.DataDirInfo) string {
	line := fmt.Sprintf("member %s of the store %s, one of %d voters; its last entry is %v", f.Name, f.StoreID, f.Voters, f.Progress)
	if f.ExclusionReason != "" {
		line += "; it was excluded: " + f.ExclusionReason
	}
	return line
}

type storeRecoverCmd struct {
	Dir         string `arg:"" help:"The member's folder (dir)." type:"existingdir"`
	Name        string `help:"The member's name." required:""`
	Raft        string `help:"Address at which other members will reach it." required:""`
	LoseTheRest bool   `help:"Confirm that changes held only by the lost members are lost, and that none of these members may come back with its folder."`
}

func (c *storeRecoverCmd) Run(log *slog.Logger) error {
	f, err := store.InspectDataDir(c.Dir, c.Name, log)
	if err != nil {
		return err
	}
	if !c.LoseTheRest {
		return fmt.Errorf("%s. Nothing was done. Compare the folders of all remaining members, choose the one whose last entry has the highest term and the highest number in that term, keep a copy of it, and repeat this command only on that one with --lose-the-rest", formatDataDir(f))
	}
	if _, err := store.Recover(c.Dir, store.Member{Name: c.Name, RaftAddress: c.Raft}, log); err != nil {
		return err
	}
	fmt.Printf("was: %s\nnow: member %s alone, of a new store. Start it; then, for each other member, empty its folder, set join = true, and add and promote it\n", formatDataDir(f), c.Name)
	return nil
}
