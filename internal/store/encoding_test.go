package store

import (
	"encoding/json"
	"testing"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// encodedForm is a value and its expected JSON.
type encodedForm struct {
	value any
	json  string
}

func checkEncodedForms(t *testing.T, forms []encodedForm) {
	t.Helper()
	for _, f := range forms {
		if got, err := json.Marshal(f.value); err != nil || string(got) != f.json {
			t.Errorf("%T: %s, %v, want %s", f.value, got, err, f.json)
		}
	}
}

var (
	encodedRecord     = lease.Record{Task: "d", Holder: "h", Token: 7, Successor: "n", Serial: 9}
	encodedRecordJSON = `"duty":"d","holder":"h","token":7,"next":"n","serial":9`

	encodedProgress     = quorum.Progress{Term: 3, EntryTerm: 2, Index: 20}
	encodedProgressJSON = `{"term":3,"entry_term":2,"index":20}`
)

// TestStoredFormats checks the JSON form of all that is stored in logs, snapshots and data directories.
func TestStoredFormats(t *testing.T) {
	transaction := document.Transaction{
		ID: "i", Author: "b", Reason: "w", UnixMillis: 5,
		Conditions: []document.Condition{{Key: "k", Version: 1}, {Task: "d", Token: 7}},
		Operations: []document.Operation{
			{Key: "k", Value: "v", Delete: true, ExcludeFromHistory: true},
			{Lease: &encodedRecord},
		},
	}
	transactionJSON := `{"id":"i","by":"b","why":"w","at":5,` +
		`"if":[{"key":"k","version":1},{"duty":"d","token":7}],` +
		`"do":[{"key":"k","value":"v","delete":true,"passing":true},{"lease":{` + encodedRecordJSON + `}}]}`
	noChecksum := `[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0]`
	checkEncodedForms(t, []encodedForm{
		{change{Key: "closed", Value: "n1"}, `{"Key":"closed","Value":"n1"}`},
		{change{Transaction: &transaction}, `{"Key":"","Value":"","Make":` + transactionJSON + `}`},
		{
			change{Restore: &restorePart{ID: "r", Part: 1, Parts: 2, Data: []byte("x"), TokenFloor: 4}},
			`{"Key":"","Value":"","Restore":{"id":"r","part":1,"of":2,"data":"eA==","sum":` + noChecksum + `,"floor":4}}`,
		},
		{Member{"n", "r:1", "a:1"}, `{"Name":"n","Raft":"r:1","Admin":"a:1"}`},
		{identity{"n", "S", 3, "o", ""}, `{"name":"n","store":"S","voters":3,"out":"o"}`},
		{identity{Name: "n", ReadmissionID: "r"}, `{"name":"n","store":"","voters":0,"readmit":"r"}`},
		{
			snapshot{map[string]string{"closed": "n1"}, json.RawMessage("{}"), &partialBackup{"r", 1, []byte("x")}},
			`{"values":{"closed":"n1"},"documents":{},"staged":{"id":"r","next":1,"data":"eA=="}}`,
		},
		{
			DataDirInfo{"n", "S", 3, encodedProgress, "o"},
			`{"name":"n","store":"S","voters":3,"mark":` + encodedProgressJSON + `,"out":"o"}`,
		},
	})
}

// TestRequestFormats checks the JSON form of requests and responses, which operators and members of other versions rely
// on.
func TestRequestFormats(t *testing.T) {
	status := LeaseStatus{Record: encodedRecord, RemainingMS: 8}
	statusJSON := `{` + encodedRecordJSON + `,"left_ms":8}`
	read := readResponse{
		ReadStatus: ReadStatus{Revision: 4},
		Documents:  []document.Document{{Key: "k", Value: "v", Version: 1}},
		Changes:    []document.Change{{Revision: 1, Key: "k", Value: "v", Deleted: true, Lease: &encodedRecord, Author: "b", Reason: "w", UnixMillis: 5}},
		Leases:     []LeaseStatus{status},
		Forgotten:  true,
	}
	readJSON := `{"revision":4,"confirmed":false,"from":0,"documents":[{"key":"k","value":"v","version":1}],` +
		`"changes":[{"revision":1,"key":"k","value":"v","deleted":true,"lease":{` + encodedRecordJSON + `},"by":"b","why":"w","at":5}],` +
		`"owners":[` + statusJSON + `],"forgotten":true}`
	member := quorum.Member{Name: "n", RaftAddress: "r:1", AdminAddress: "a:1", Voter: true, SinceContact: 5, Lag: 6, ExclusionReason: "o", Leader: true}
	memberJSON := `{"name":"n","raft":"r:1","admin":"a:1","voter":true,"heard_ns":5,"behind":6,"out":"o","leader":true}`
	answer := quorum.PeerAnswer{From: "n", StoreID: "S", IsMember: true, IsVoter: true, IsLeader: true, Term: 3, LeaderAdminAddress: "a:1", Progress: encodedProgress, Unsupported: true}
	checkEncodedForms(t, []encodedForm{
		{MembershipChange{MemberAdd, "n", "r:1", "a:1", "b", "w"}, `{"do":"add","name":"n","raft":"r:1","admin":"a:1","by":"b","why":"w"}`},
		{MembershipChange{Action: MemberPromote, Name: "n"}, `{"do":"promote","name":"n","by":"","why":""}`},
		{MembershipChange{Action: MemberRemove, Name: "n"}, `{"do":"remove","name":"n","by":"","why":""}`},
		{MembershipChange{Action: MemberLead, Name: "n"}, `{"do":"lead","name":"n","by":"","why":""}`},
		{LeaseRequest{LeaseAcquire, "h", 7, "n", "w"}, `{"ask":"take","holder":"h","token":7,"to":"n","why":"w"}`},
		{LeaseRequest{Action: LeaseRenew, Holder: "h"}, `{"ask":"renew","holder":"h"}`},
		{LeaseRequest{Action: LeaseHandOver, Holder: "h"}, `{"ask":"hand-over","holder":"h"}`},
		{document.Result{Committed: true, Revision: 4, Reason: "why", Duplicate: true}, `{"made":true,"revision":4,"reason":"why","again":true}`},
		{ReadStatus{Revision: 4, AgeMS: 6, HistoryStart: 2}, `{"revision":4,"confirmed":false,"age_ms":6,"from":2}`},
		{read, readJSON},
		{Membership{"S", "n1", "n2", "x", []quorum.Member{member}}, `{"store":"S","self":"n1","leader":"n2","out":"x","members":[` + memberJSON + `]}`},
		{answer, `{"from":"n","store":"S","member":true,"votes":true,"leads":true,"term":3,"leader":"a:1","mark":` + encodedProgressJSON + `}`},
	})
}
