package store

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
	"sloehitch/internal/testing/standin"
)

// keepers are members on disk that can be stopped, started again and added.
type keepers struct {
	*group
	t    *testing.T
	dirs map[string]string
}

// newKeepers starts so many, which begin together.
func newKeepers(t *testing.T, size int) *keepers {
	k := &keepers{group: &group{stores: map[string]*Store{}}, t: t, dirs: map[string]string{}}
	for i := range size {
		k.members = append(k.members, k.address(fmt.Sprint("n", i)))
	}
	for _, m := range k.members {
		k.begin(m.Name, false)
	}
	t.Cleanup(func() {
		for _, s := range k.stores {
			s.Close()
		}
	})
	return k
}

// address gives a member addresses; the operators' one answers for as long as the test runs.
func (k *keepers) address(name string) Member {
	k.dirs[name] = k.t.TempDir()
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k.mu.Lock()
		s := k.stores[name]
		k.mu.Unlock()
		if s == nil {
			http.Error(w, "not there", http.StatusBadGateway)
			return
		}
		s.Handler().ServeHTTP(w, r)
	}))
	k.t.Cleanup(admin.Close)
	return Member{name, standin.Free(k.t), admin.Listener.Addr().String()}
}

func (k *keepers) begin(name string, join bool, more ...Member) *Store {
	k.t.Helper()
	s, err := Open(Options{Name: name, Members: append(append([]Member(nil), k.members...), more...), Dir: k.dirs[name], CommitTimeout: 5 * time.Second, ElectionTimeout: 200 * time.Millisecond, Logger: standin.Quiet, Join: join})
	if err != nil {
		k.t.Fatal(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stores[name] = s
	return s
}

func (k *keepers) end(name string) {
	k.t.Helper()
	k.mu.Lock()
	s := k.stores[name]
	delete(k.stores, name)
	k.mu.Unlock()
	if err := s.Close(); err != nil {
		k.t.Error(err)
	}
}

// write has a document written through whoever takes it.
func (k *keepers) write(key, value string) (r document.Result) {
	k.t.Helper()
	waitFor(k.t, key+"="+value, func() bool {
		for _, s := range k.stores {
			var err error
			if r, err = s.Commit(tx("id "+key+value, key, value)); err == nil {
				return true
			}
		}
		return false
	})
	return r
}

// ask asks about a duty until the leader has answered, whichever member it is by then.
func (k *keepers) ask(duty string, q LeaseRequest) (r lease.Record, err error) {
	k.t.Helper()
	waitFor(k.t, "an answer about duty "+duty, func() bool {
		r, err = Client{k.members[0].AdminAddress, 5 * time.Second}.RequestLease(duty, q)
		return err == nil || errors.Is(err, ErrConflict)
	})
	return r, err
}

// set has a key of the operators' state set through whichever member leads by then.
func (k *keepers) set(key, value string) {
	k.t.Helper()
	waitFor(k.t, key+"="+value, func() bool {
		for _, s := range k.stores {
			if s.Set(key, value) == nil {
				return true
			}
		}
		return false
	})
}

func (k *keepers) has(name, key, value string) {
	k.t.Helper()
	waitFor(k.t, fmt.Sprintf("%s=%s on %s", key, value, name), func() bool {
		docs, _, _ := k.stores[name].Documents(key, false)
		if len(docs) == 0 {
			docs, _, _ = k.stores[name].Documents(key, true)
		}
		return len(docs) == 1 && docs[0].Value == value
	})
}

// change asks for a change until it is done; it is refused while it would not be safe.
func (k *keepers) change(do, name string, at Member) {
	k.t.Helper()
	waitFor(k.t, do+" "+name, func() bool {
		_, err := Client{k.members[1].AdminAddress, 5 * time.Second}.ChangeMembers(MembershipChange{Action: do, Name: name, RaftAddress: at.RaftAddress, AdminAddress: at.AdminAddress, Author: "test", Reason: "because"})
		return err == nil
	})
}

func (k *keepers) out(name, why string) {
	k.t.Helper()
	var last string
	for end := time.Now().Add(standin.Patience); ; time.Sleep(5 * time.Millisecond) {
		if last = k.stores[name].Members().ExclusionReason; strings.Contains(last, why) {
			return
		}
		if time.Now().After(end) {
			k.t.Fatalf("%s is kept out because of %q, want %q", name, last, why)
		}
	}
}

// TestMembersInService: one is added, catches up, gets a vote and the lead; the one that led is removed and kept out; what would
// lose the majority is refused; all of it is in the history.
func TestMembersInService(t *testing.T) {
	k := newKeepers(t, 3)
	k.write("a", "1")
	n3 := k.address("n3")
	k.begin("n3", true, n3)
	waitFor(t, "n3 to have found a store", func() bool { return k.stores["n3"].Members().ExclusionReason == "" })
	k.change("add", "n3", n3)
	k.change("add", "n3", n3) // asked again: nothing comes of it
	k.has("n3", "a", "1")
	m, err := Client{k.members[0].AdminAddress, 5 * time.Second}.Members(false)
	if err != nil || len(m.Members) != 4 || m.Members[3].Voter || m.StoreID == "" || m.Members[3].AdminAddress != n3.AdminAddress {
		t.Errorf("%+v, %v", m, err)
	}
	k.change("promote", "n3", n3)
	k.change("lead", "n3", n3)
	waitFor(t, "n3 to lead", func() bool { l, _ := k.stores["n0"].Leader(); return l.Name == "n3" })
	k.write("b", "2") // through n3, of which the others' settings know nothing
	k.change("remove", "n0", n3)
	k.out("n0", "removed")
	if _, err := (Client{n3.AdminAddress, 5 * time.Second}).ChangeMembers(MembershipChange{Action: "remove", Name: "n3"}); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "give the lead") {
		t.Errorf("the leader was removed: %v", err)
	}
	k.end("n0")
	k.begin("n0", false)
	k.out("n0", "was removed from the store")
	k.end("n0")
	k.end("n2")
	if _, err := (Client{n3.AdminAddress, 5 * time.Second}).ChangeMembers(MembershipChange{Action: "remove", Name: "n1", Author: "test"}); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "n2 has not answered") {
		t.Errorf("the majority was lost: %v", err)
	}
	if _, err := (Client{n3.AdminAddress, 5 * time.Second}).ChangeMembers(MembershipChange{Action: "marry", Name: "n1"}); err == nil || errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), "add, promote, remove or lead") {
		t.Errorf("no change at all: %v", err)
	}
	changes, _, _, err := Client{n3.AdminAddress, 5 * time.Second}.Changes("", 0, 0)
	var whys []string
	for _, c := range changes {
		if c.Author == "test" && strings.HasSuffix(c.Reason, ": because") {
			whys = append(whys, strings.TrimSuffix(c.Reason, ": because"))
		}
	}
	if got := strings.Join(whys, ", "); err != nil || got != "add n3, promote n3, lead n3, remove n0" {
		t.Errorf("the history has %s (%v)", got, err)
	}
}

func copyDir(t *testing.T, from string) string {
	to := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

// TestKeptOut: an older copy of a folder, an empty one, another member's and another store's are told from a member's own.
func TestKeptOut(t *testing.T) {
	k := newKeepers(t, 3)
	k.write("a", "1")
	k.has("n2", "a", "1")
	k.end("n2")
	whole := k.dirs["n2"]
	older := copyDir(t, whole)
	k.begin("n2", false)
	k.write("a", "2")
	k.has("n2", "a", "2")
	k.end("n2")

	k.dirs["n2"] = older
	k.begin("n2", false)
	k.out("n2", "it is an older copy")
	if _, err := k.stores["n2"].Commit(tx("x", "x", "x")); !errors.Is(err, ErrNotLeader) || !strings.Contains(err.Error(), "older copy") {
		t.Errorf("a change through one that is kept out: %v", err)
	}
	waitFor(t, "its own word to be why nobody else can be removed", func() bool {
		said := false
		for _, name := range []string{"n0", "n1"} { // one of them leads
			_, err := Client{k.members[1].AdminAddress, 5 * time.Second}.ChangeMembers(MembershipChange{Action: "remove", Name: name, Author: "test"})
			said = said || err != nil && strings.Contains(err.Error(), "n2 is kept out (") && strings.Contains(err.Error(), "it is an older copy")
		}
		return said
	})
	k.end("n2")
	k.end("n0")
	k.end("n1")
	k.begin("n2", false) // nobody that knows is there
	k.out("n2", "it is an older copy")
	k.begin("n0", false)
	k.begin("n1", false)
	k.end("n2")
	k.dirs["n2"] = t.TempDir()
	k.begin("n2", false)
	k.out("n2", "it is empty")
	k.end("n2")

	if _, err := Open(Options{Name: "n1", Members: k.members, Dir: whole, ElectionTimeout: time.Second, Logger: standin.Quiet}); err == nil || !strings.Contains(err.Error(), "member n2's, and this is member n1") {
		t.Errorf("another's folder: %v", err)
	}
	other := newKeepers(t, 1)
	waitFor(t, "the other store's id", func() bool { return other.stores["n0"].Members().StoreID != "" })
	other.end("n0")
	mine := *k
	mine.dirs = map[string]string{"n2": other.dirs["n0"]}
	mine.members = append([]Member(nil), k.members...)
	// n0 of the other store comes as n0 of this one.
	k.end("n0")
	mine.dirs["n0"] = other.dirs["n0"]
	mine.begin("n0", false)
	k.out("n0", "another store's folder")
	k.end("n0")
	k.begin("n0", false)
	k.dirs["n2"] = whole
	k.begin("n2", false)
	k.write("a", "3")
	k.has("n2", "a", "3")
	if why := k.stores["n2"].Members().ExclusionReason; why != "" {
		t.Errorf("its own folder is kept out: %s", why)
	}
}

// TestOlderVersionsCountEach: members whose version knows nothing of the question have answered each for itself.
func TestOlderVersionsCountEach(t *testing.T) {
	members := []Member{{Name: "n0", RaftAddress: standin.Free(t)}}
	for i := range 4 {
		m := Member{Name: fmt.Sprint("n", i+1), RaftAddress: standin.Free(t), AdminAddress: standin.Free(t)}
		if i < 2 {
			old := httptest.NewServer(http.NotFoundHandler())
			defer old.Close()
			m.AdminAddress = old.Listener.Addr().String()
		}
		members = append(members, m)
	}
	s, err := Open(Options{Name: "n0", Members: members, Dir: t.TempDir(), CommitTimeout: time.Second, ElectionTimeout: 200 * time.Millisecond, Logger: standin.Quiet})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	waitFor(t, "two of four answers to be enough", func() bool { return s.raft.Load() != nil })
}

// TestRestore: all go back to a backup; what came after is gone, no token comes again, an owner of before is turned away, and who
// watches is told to read anew.
func TestRestore(t *testing.T) {
	k := newKeepers(t, 3)
	k.write("a", "1")
	leader := k.leader(t)
	s := k.stores[leader.Name]
	first, err := k.ask("d", LeaseRequest{Action: "take", Holder: "A"})
	if err != nil {
		t.Fatal(err)
	}
	k.set(KeyClosedNodes, "n9")
	var backup bytes.Buffer
	ask := Client{k.members[0].AdminAddress, 5 * time.Second}
	waitFor(t, "a backup", func() bool {
		backup.Reset()
		return ask.Backup(&backup) == nil
	})
	k.write("a", "2")
	k.write("later", "1")
	k.set(KeyClosedNodes, "n8")
	second, err := k.ask("d", LeaseRequest{Action: "take", Holder: "A"})
	if err != nil || second.Token <= first.Token {
		t.Fatalf("%+v, %v", second, err)
	}
	before := s.Members()
	for _, bad := range []string{"", "{}", `{"documents":7}`, `{"values":{},"documents":{"revision":1,"documents":[{"key":"x","value":"","version":9}]}}`, backup.String()[:backup.Len()/2]} {
		if _, err := ask.Restore([]byte(bad), "me", ""); err == nil || !strings.Contains(err.Error(), "no backup of a store") {
			t.Errorf("%.40q was restored: %v", bad, err)
		}
	}
	k.has(leader.Name, "a", "2")
	_, now, _ := s.Documents("", false)
	revision := now.Revision
	var seen ReadStatus
	for range 2 { // the same backup twice
		waitFor(t, "a restore", func() bool {
			seen, err = ask.Restore(backup.Bytes(), "me", "a mistake")
			return err == nil
		})
	}
	if seen.Revision <= revision {
		t.Errorf("revision %d after %d", seen.Revision, revision)
	}
	for name := range k.stores {
		waitFor(t, name+" to have gone back twice, and to know by whom", func() bool {
			docs, now, err := k.stores[name].Documents("later", false)
			return err == nil && now.Revision > seen.Revision && len(docs) == 0
		})
		k.has(name, "a", "1")
	}
	k.all(t, KeyClosedNodes, "n9")
	if after := s.Members(); after.StoreID != before.StoreID || len(after.Members) != 3 {
		t.Errorf("the members were %+v and are %+v", before, after)
	}
	if _, err := k.ask("d", LeaseRequest{Action: "take", Holder: "B"}); err == nil {
		t.Error("a duty was granted at once: its owner of before may be at work")
	}
	if _, err := k.ask("d", LeaseRequest{Action: "renew", Holder: "A", Token: second.Token}); err == nil {
		t.Error("an owner of before goes on")
	}
	third, err := k.ask("new", LeaseRequest{Action: "take", Holder: "B"})
	if err != nil || third.Token <= second.Token {
		t.Errorf("a duty that the backup knows nothing of: %+v, %v", third, err)
	}
	if _, _, forgotten, err := ask.Changes("", seen.Revision-1, 0); err != nil || !forgotten {
		t.Errorf("who watched was not told: %v", err)
	}
	changes, _, _, err := ask.Changes("", seen.Revision, 0)
	if err != nil || len(changes) == 0 || changes[0].Author != "me" || changes[0].Reason != "restore: a mistake" {
		t.Errorf("the history has %+v, %v", changes, err)
	}
}

// TestRecover: with the majority lost for good one member goes on from its folder, alone, under a new id; revisions and tokens go on
// above all that were; one that comes back all the same is kept out, and added anew with an empty folder.
func TestRecover(t *testing.T) {
	k := newKeepers(t, 3)
	k.write("a", "1")
	for name := range k.stores {
		k.has(name, "a", "1")
	}
	lease, err := k.ask("d", LeaseRequest{Action: "take", Holder: "A"})
	if err != nil {
		t.Fatal(err)
	}
	revision := k.write("b", "1").Revision
	k.has("n0", "b", "1")
	store := k.stores["n0"].Members().StoreID
	for _, m := range k.members {
		k.end(m.Name)
	}
	if _, err := Recover(t.TempDir(), k.members[0], standin.Quiet); err == nil || !strings.Contains(err.Error(), "empty") {
		t.Errorf("an empty folder was recovered: %v", err)
	}
	if _, err := Recover(k.dirs["n0"], k.members[1], standin.Quiet); err == nil || !strings.Contains(err.Error(), "member n0's") {
		t.Errorf("another's folder was recovered: %v", err)
	}
	if f, err := InspectDataDir(k.dirs["n0"], "n0", standin.Quiet); err != nil || f.Name != "n0" || f.StoreID != store || f.Voters != 3 || f.Progress.Index == 0 {
		t.Errorf("%+v, %v", f, err)
	}
	was, err := Recover(k.dirs["n0"], k.members[0], standin.Quiet)
	if err != nil || was.StoreID != store {
		t.Fatalf("%+v, %v", was, err)
	}
	s := k.begin("n0", false)
	waitFor(t, "n0 to lead alone", func() bool { return s.Barrier() == nil })
	k.has("n0", "b", "1")
	if m := s.Members(); m.StoreID == store || len(m.Members) != 1 {
		t.Errorf("%+v", m)
	}
	if next := k.write("c", "1"); next.Revision <= revision+limits.LostChanges {
		t.Errorf("revision %d after %d", next.Revision, revision)
	}
	other, err := k.ask("e", LeaseRequest{Action: "take", Holder: "B"})
	if err != nil || other.Token <= lease.Token+1<<32 {
		t.Errorf("%+v after %+v, %v", other, lease, err)
	}
	k.begin("n1", false)
	k.out("n1", "another store's folder")
	k.end("n1")
	k.dirs["n1"] = t.TempDir()
	k.begin("n1", true)
	waitFor(t, "n1 to have found a store", func() bool { return k.stores["n1"].Members().ExclusionReason == "" })
	for _, do := range []string{"add", "promote"} {
		waitFor(t, do, func() bool {
			return s.ChangeMembers(MembershipChange{Action: do, Name: "n1", RaftAddress: k.members[1].RaftAddress, AdminAddress: k.members[1].AdminAddress}) == nil
		})
	}
	k.has("n1", "c", "1")
}

// TestNewFoldersDoNotVote: a member that has joined grants no vote until it has anything; then it is raft's to answer.
func TestNewFoldersDoNotVote(t *testing.T) {
	at := func() (*transport, raft.ServerAddress) {
		address := standin.Free(t)
		l, err := listen(address, time.Second, 3, standin.Quiet, func(id raft.ServerID) (raft.ServerAddress, error) { return raft.ServerAddress(id), nil },
			func(raft.ServerAddress, time.Duration) error { return nil }, func(string, quorum.Progress) {})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l, raft.ServerAddress(address)
	}
	asks, _ := at()
	joined, to := at()
	var blank atomic.Bool
	blank.Store(true)
	joined.withholdVotesWhile(blank.Load)
	go func() {
		rpc := <-joined.Consumer()
		rpc.Respond(&raft.RequestVoteResponse{Granted: true}, nil)
	}()
	for _, want := range []bool{false, true} {
		var got raft.RequestVoteResponse
		if err := asks.RequestVote(raft.ServerID(to), to, &raft.RequestVoteRequest{Term: 3}, &got); err != nil || got.Granted != want {
			t.Errorf("granted: %v, %v, want %v", got.Granted, err, want)
		}
		blank.Store(false)
	}
}
