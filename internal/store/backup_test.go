package store

import (
	"bytes"
	"strings"
	"testing"
)

// TestRestoreReplacesStateOnAllMembers checks that a restore takes all members back to a backup: later changes are
// lost, no token is granted again, an earlier holder of a lease is rejected, and watchers have to read all documents
// again.
func TestRestoreReplacesStateOnAllMembers(t *testing.T) {
	cluster := newDiskCluster(t, 3, shortElectionTimeout)
	cluster.write("a", "1")
	leader := cluster.awaitLeader(t)
	s := cluster.stores[leader.Name]
	first, err := cluster.requestLease("d", LeaseRequest{Action: LeaseAcquire, Holder: "A"})
	if err != nil {
		t.Fatal(err)
	}
	cluster.set(KeyClosedNodes, "n9")
	client := operator(cluster.members[0])
	backup := takeBackup(t, client)
	cluster.write("a", "2")
	cluster.write("later", "1")
	cluster.set(KeyClosedNodes, "n8")
	second, err := cluster.requestLease("d", LeaseRequest{Action: LeaseAcquire, Holder: "A"})
	if err != nil || second.Token <= first.Token {
		t.Fatalf("second lease: %+v, %v", second, err)
	}
	before := s.Members()
	rejectMalformedBackups(t, client, backup)
	cluster.expectDocument(leader.Name, "a", "2")
	_, current, _ := s.Documents("", false)
	var status ReadStatus
	for range 2 { // the same backup twice
		waitFor(t, "a restore", func() bool {
			status, err = client.Restore(backup, "me", "a mistake")
			return err == nil
		})
	}
	if status.Revision <= current.Revision {
		t.Errorf("revision %d after %d", status.Revision, current.Revision)
	}
	cluster.checkRestored(status)
	if after := s.Members(); after.StoreID != before.StoreID || len(after.Members) != 3 {
		t.Errorf("the members were %+v and are %+v", before, after)
	}
	cluster.checkTokensAfterRestore(second.Token)
	checkHistoryAfterRestore(t, client, status)
}

func takeBackup(t *testing.T, client Client) []byte {
	t.Helper()
	var backup bytes.Buffer
	waitFor(t, "a backup", func() bool {
		backup.Reset()
		return client.Backup(&backup) == nil
	})
	return backup.Bytes()
}

func rejectMalformedBackups(t *testing.T, client Client, backup []byte) {
	t.Helper()
	wrongVersion := `{"values":{},"documents":{"revision":1,"documents":[{"key":"x","value":"","version":9}]}}`
	for _, malformed := range []string{"", "{}", `{"documents":7}`, wrongVersion, string(backup[:len(backup)/2])} {
		if _, err := client.Restore([]byte(malformed), "me", ""); err == nil || !strings.Contains(err.Error(), "not a backup of a store") {
			t.Errorf("%.40q was restored: %v", malformed, err)
		}
	}
}

// checkRestored checks that all members have applied both restores.
func (cluster *diskCluster) checkRestored(status ReadStatus) {
	t := cluster.t
	t.Helper()
	for name := range cluster.stores {
		waitFor(t, name+" to apply both restores, with their records in the history", func() bool {
			documents, current, err := cluster.stores[name].Documents("later", false)
			return err == nil && current.Revision > status.Revision && len(documents) == 0
		})
		cluster.expectDocument(name, "a", "1")
	}
	cluster.expectValue(t, KeyClosedNodes, "n9")
}

// checkTokensAfterRestore checks that no task is held, and that no token is granted again.
func (cluster *diskCluster) checkTokensAfterRestore(highest uint64) {
	t := cluster.t
	t.Helper()
	if _, err := cluster.requestLease("d", LeaseRequest{Action: LeaseAcquire, Holder: "B"}); err == nil {
		t.Error("a lease was granted at once, although its holder before the restore may still be active")
	}
	if _, err := cluster.requestLease("d", LeaseRequest{Action: LeaseRenew, Holder: "A", Token: highest}); err == nil {
		t.Error("the holder before the restore renewed its lease")
	}
	record, err := cluster.requestLease("new", LeaseRequest{Action: LeaseAcquire, Holder: "B"})
	if err != nil || record.Token <= highest {
		t.Errorf("a task that is not in the backup: %+v, %v", record, err)
	}
}

func checkHistoryAfterRestore(t *testing.T, client Client, status ReadStatus) {
	t.Helper()
	if _, _, forgotten, err := client.Changes("", status.Revision-1, 0); err != nil || !forgotten {
		t.Errorf("a watcher was not told to read again: %v", err)
	}
	changes, _, _, err := client.Changes("", status.Revision, 0)
	if err != nil || len(changes) == 0 || changes[0].Author != "me" || changes[0].Reason != "restore: a mistake" {
		t.Errorf("changes after the restore: %+v, %v", changes, err)
	}
}
