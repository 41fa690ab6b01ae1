package raftlog

import (
	"encoding/json"
	"testing"

	"github.com/hashicorp/raft"
)

// TestStoredForms checks that entries, keys and descriptions keep the format of existing data directories.
func TestStoredForms(t *testing.T) {
	meta := raft.SnapshotMeta{Version: 1, ID: "i", Index: 4, Term: 2, Size: 9}
	text, err := json.Marshal(description{SnapshotMeta: meta, Parts: 3, Checksum: 7})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ got, want string }{
		"description":     {string(text), `{"Version":1,"ID":"i","Index":4,"Term":2,"Peers":null,"Configuration":{"Servers":null},"ConfigurationIndex":0,"Size":9,"Parts":3,"Sum":7}`},
		"entry":           {string(encodeEntry(entry(5, 2))), "\x01\x00\x02\x0a\x01xentry 5 of term 2"},
		"entry key":       {string(entryKey(5)), "l\x00\x00\x00\x00\x00\x00\x00\x05"},
		"stable key":      {string(stableKey([]byte("k"))), "sk"},
		"description key": {string(descriptionKey("i")), "mi"},
		"part key":        {string(partKey("i", 3)), "pi\x00\x00\x00\x00\x03"},
	} {
		if c.got != c.want {
			t.Errorf("%s: %q, want %q", name, c.got, c.want)
		}
	}
}
