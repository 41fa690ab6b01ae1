package format

import (
	"bytes"
	"encoding/hex"
	"errors"
	"reflect"
	"testing"
)

var records = []Record{
	{Kind: KindStarted, Seq: 1, ID: ID{1}, ExpiresAt: 5, Fingerprint: [32]byte{7}},
	{Kind: KindEnded, Seq: 2, ID: ID{1}, ExpiresAt: 5, Fingerprint: [32]byte{7}, Succeeded: true, ResultStored: true, Protocol: "resp", Result: []byte("visit 12")},
	{Kind: KindEnded, Seq: 3, ID: ID{2}, ExpiresAt: -1, Protocol: "", Result: []byte{}},
	{Kind: KindWithdrawn, Seq: 1 << 63, ID: ID{255}, ExpiresAt: 1 << 62},
}

// TestCutAndFlipped: a record reads back as it was; cut at any byte it is incomplete; with any bit flipped it is never
// taken for a record, nor is it under another segment's salt.
func TestCutAndFlipped(t *testing.T) {
	const salt = Salt(99)
	for _, want := range records {
		b := salt.AppendRecord(nil, want)
		got, n, err := salt.DecodeRecord(b)
		if got.Result == nil {
			got.Result = want.Result
		}
		if err != nil || n != len(b) || !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v read back as %+v, %d of %d bytes, %v", want, got, n, len(b), err)
		}
		if _, _, err := Salt(98).DecodeRecord(b); !errors.Is(err, ErrCorrupt) {
			t.Errorf("under another salt: %v", err)
		}
		for i := range b {
			if _, _, err := salt.DecodeRecord(b[:i]); !errors.Is(err, ErrIncomplete) {
				t.Fatalf("cut to %d bytes: %v", i, err)
			}
			for bit := range 8 {
				c := bytes.Clone(b)
				c[i] ^= 1 << bit
				if _, _, err := salt.DecodeRecord(c); err == nil {
					t.Fatalf("kind %d is taken with bit %d of byte %d flipped", want.Kind, bit, i)
				}
			}
		}
	}
}

// TestHeader: a header reads back as it was; a cut one and one of another version are told apart.
func TestHeader(t *testing.T) {
	header := Header(12)
	if s, err := ParseHeader(header); s != 12 || err != nil {
		t.Errorf("%d, %v", s, err)
	}
	if _, err := ParseHeader(header[:HeaderSize-1]); !errors.Is(err, ErrIncomplete) {
		t.Errorf("cut: %v", err)
	}
	header[4]++
	if _, err := ParseHeader(header); !errors.Is(err, ErrVersion) {
		t.Errorf("of the next version: %v", err)
	}
}

// TestStoredForm: the bytes that processes of other versions of this program read.
func TestStoredForm(t *testing.T) {
	const salt = Salt(99)
	if got, want := hex.EncodeToString(Header(salt)), "534c434c010000006300000000000000"; got != want {
		t.Errorf("header %s, want %s", got, want)
	}
	for i, want := range []string{
		"41000000b00733a90101000000000000000100000000000000000000000000000005000000000000000700000000000000000000000000000000000000000000000000000000000000",
		"4f00000031c7c95202020000000000000001000000000000000000000000000000050000000000000007000000000000000000000000000000000000000000000000000000000000000304726573707669736974203132",
		"430000003300eb0802030000000000000002000000000000000000000000000000ffffffffffffffff00000000000000000000000000000000000000000000000000000000000000000000",
		"210000005faee905030000000000000080ff0000000000000000000000000000000000000000000040",
	} {
		if got := hex.EncodeToString(salt.AppendRecord(nil, records[i])); got != want {
			t.Errorf("record %d: %s, want %s", i, got, want)
		}
	}
}
