package fleetrig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sloehitch/internal/store"
)

// copyStore kills a process, copies its store folder, and starts the process again. It returns the copy's path, or "" if the process
// already has another fault.
func (f *testFleet) copyStore(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.procs[i] == nil || f.faulted[i] {
		return ""
	}
	f.faulted[i] = true // no other fault until the node is back in the store
	to := filepath.Join(f.nodeDir(i), "older")
	f.kill(i)
	err := os.CopyFS(to, os.DirFS(f.storeDir(i)))
	if err == nil {
		err = f.start(i)
	}
	if err != nil {
		f.failures = append(f.failures, err.Error())
		return ""
	}
	return to
}

// restoreStore restarts a process on an older copy of its store folder. The store must exclude a member that has lost writes that it
// acknowledged; the rig then removes the member and adds it again, as an operator would. This happens in the background: wait for
// f.repairs.
func (f *testFleet) restoreStore(i int, copied string) {
	if err := f.replaceStore(i, copied, false); err != nil {
		f.addFailure("n%d: %v", i, err)
		return
	}
	f.repairs.Go(func() {
		defer func() {
			f.mu.Lock()
			f.faulted[i] = false
			f.mu.Unlock()
		}()
		end := time.Now().Add(f.Recovery)
		if f.excluded(i, end) {
			f.addAgain(i, end)
		}
	})
}

// replaceStore kills a process, replaces its store folder with the folder from, or with an empty one if from is "", and starts it again.
func (f *testFleet) replaceStore(i int, from string, join bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kill(i)
	if err := os.RemoveAll(f.storeDir(i)); err != nil {
		return err
	}
	if from != "" {
		if err := os.Rename(from, f.storeDir(i)); err != nil {
			return err
		}
	}
	if err := f.writeDeploy[i](join); err != nil {
		return err
	}
	return f.start(i)
}

// excluded waits until a restored member is either accepted by the store or excluded from it, and reports whether it is excluded. The store
// accepts a member that has acknowledged nothing since the copy.
func (f *testFleet) excluded(i int, end time.Time) bool {
	reason := ""
	decided := f.waitUntil(end, func() bool {
		m, err := f.client(i).Members(true)
		reason = m.ExclusionReason
		return err == nil && (m.ExclusionReason == "" || strings.Contains(m.ExclusionReason, "remove it"))
	})
	switch {
	case !decided:
		f.addFailure("n%d: the store neither accepts nor excludes the restored member within the recovery time: %s", i, reason)
		return false
	case reason == "":
		f.logf("n%d continues from the older copy: it acknowledged nothing after the copy", i)
		return false
	}
	f.logf("n%d is excluded: %s", i, reason)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exclusions++
	return true
}

// addAgain removes an excluded member and adds it again with an empty store folder.
func (f *testFleet) addAgain(i int, end time.Time) {
	if !f.changeMembers(i, "remove", end) {
		f.addFailure("n%d: the excluded member was not removed within the recovery time", i)
		return
	}
	if err := f.replaceStore(i, "", true); err != nil {
		f.addFailure("n%d: %v", i, err)
		return
	}
	if !f.changeMembers(i, "add", end) || !f.changeMembers(i, "promote", end) {
		f.addFailure("n%d: the excluded member was not added again and promoted within the recovery time", i)
	}
}

// changeMembers requests a membership change of node i from the other members in turn, and reports whether it was made by the end.
func (f *testFleet) changeMembers(i int, action string, end time.Time) bool {
	change := store.MembershipChange{Action: action, Name: fmt.Sprint("n", i), Author: "rig", Reason: "an older copy"}
	if action == "add" {
		change.RaftAddress, change.AdminAddress = f.rafts[i], f.admins[i]
	}
	attempt := 0
	return f.waitUntil(end, func() bool {
		attempt++
		_, err := f.client(i + attempt%(f.Members-1) + 1).ChangeMembers(change)
		return err == nil
	})
}
