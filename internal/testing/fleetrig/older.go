package fleetrig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sloehitch/internal/store"
)

// copy kills a process, copies its part of the store, and starts it again. It returns "" where the process has another fault.
func (f *processes) copy(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.procs[i] == nil || f.still[i] {
		return ""
	}
	f.still[i] = true // nothing else befalls it until it is mended
	to := filepath.Join(f.folder(i), "older")
	f.end(i)
	err := os.CopyFS(to, os.DirFS(f.store(i)))
	if err == nil {
		err = f.start(i)
	}
	if err != nil {
		f.wrong = append(f.wrong, err.Error())
		return ""
	}
	return to
}

// older puts a process back on the copy. If it is kept out for it, it is added anew, as an operator would.
func (f *processes) older(i int, copied string) {
	swap := func(with string, join bool) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(i)
		if err := os.RemoveAll(f.store(i)); err != nil {
			return err
		}
		if with != "" {
			if err := os.Rename(with, f.store(i)); err != nil {
				return err
			}
		}
		if err := f.write[i](join); err != nil {
			return err
		}
		return f.start(i)
	}
	if err := swap(copied, false); err != nil {
		f.blame("n%d: %v", i, err)
		return
	}
	f.mends.Go(func() {
		defer func() {
			f.mu.Lock()
			f.still[i] = false
			f.mu.Unlock()
		}()
		end := time.Now().Add(f.Recovery)
		out := ""
		known := f.until(end, func() bool {
			m, err := f.client(i).Members(true)
			out = m.ExclusionReason
			return err == nil && (m.ExclusionReason == "" || strings.Contains(m.ExclusionReason, "remove it"))
		})
		switch {
		case !known:
			f.blame("n%d is neither in the store nor kept out: %s", i, out)
			return
		case out == "": // it had answered for nothing since
			f.say("n%d goes on from the older copy: nobody remembers more", i)
			return
		}
		f.say("n%d is kept out: %s", i, out)
		f.mu.Lock()
		f.kept++
		f.mu.Unlock()
		name := fmt.Sprint("n", i)
		change := func(do string) bool {
			a := store.MembershipChange{Action: do, Name: name, Author: "rig", Reason: "an older copy"}
			if do == "add" {
				a.RaftAddress, a.AdminAddress = f.rafts[i], f.admins[i]
			}
			turn := 0
			return f.until(end, func() bool {
				turn++
				_, err := f.client(i + turn%(f.Members-1) + 1).ChangeMembers(a)
				return err == nil
			})
		}
		if !change("remove") {
			f.blame("%s could not be removed", name)
			return
		}
		if err := swap("", true); err != nil {
			f.blame("%s: %v", name, err)
			return
		}
		if !change("add") || !change("promote") {
			f.blame("%s could not be added anew", name)
		}
	})
}
