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

// TestRejectsTruncatedAndCorruptRecords checks that a record decodes as it was encoded, that it is incomplete if
// truncated at any byte, and that it is rejected if any bit is flipped or if it has another segment's salt.
func TestRejectsTruncatedAndCorruptRecords(t *testing.T) {
	const salt = Salt(99)
	for _, want := range records {
		b := salt.AppendRecord(nil, want)
		got, n, err := salt.DecodeRecord(b)
		if got.Result == nil {
			got.Result = want.Result
		}
		if err != nil || n != len(b) || !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v decoded as %+v, %d of %d bytes, %v", want, got, n, len(b), err)
		}
		if _, _, err := Salt(98).DecodeRecord(b); !errors.Is(err, ErrCorrupt) {
			t.Errorf("under another salt: %v", err)
		}
		for i := range b {
			if _, _, err := salt.DecodeRecord(b[:i]); !errors.Is(err, ErrIncomplete) {
				t.Fatalf("truncated to %d bytes: %v", i, err)
			}
			for bit := range 8 {
				c := bytes.Clone(b)
				c[i] ^= 1 << bit
				if _, _, err := salt.DecodeRecord(c); err == nil {
					t.Fatalf("kind %d is accepted with bit %d of byte %d flipped", want.Kind, bit, i)
				}
			}
		}
	}
}

// TestRejectsTruncatedAndForeignHeaders checks that a header decodes as it was encoded, and that a truncated one and
// one of another version give different errors.
func TestRejectsTruncatedAndForeignHeaders(t *testing.T) {
	header := Header(12)
	if s, err := ParseHeader(header); s != 12 || err != nil {
		t.Errorf("%d, %v", s, err)
	}
	if _, err := ParseHeader(header[:HeaderSize-1]); !errors.Is(err, ErrIncomplete) {
		t.Errorf("truncated header: %v", err)
	}
	header[4]++
	if _, err := ParseHeader(header); !errors.Is(err, ErrVersion) {
		t.Errorf("header of the next version: %v", err)
	}
}

// TestStoredFormat checks the encoded bytes, which processes of other versions of this program read.
func TestStoredFormat(t *testing.T) {
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
