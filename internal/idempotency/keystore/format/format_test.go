package format

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

var records = []Record{
	{Kind: Began, Seq: 1, ID: ID{1}, Ends: 5, Digest: [32]byte{7}},
	{Kind: Ended, Seq: 2, ID: ID{1}, Ends: 5, Digest: [32]byte{7}, Served: true, Kept: true, Front: "resp", Result: []byte("visit 12")},
	{Kind: Ended, Seq: 3, ID: ID{2}, Ends: -1, Front: "", Result: []byte{}},
	{Kind: Withdrawn, Seq: 1 << 63, ID: ID{255}, Ends: 1 << 62},
}

// TestCutAndFlipped: a record reads back as it was; cut at any byte it is not whole; with any bit flipped it is never
// taken for a record, nor is it under another segment's salt.
func TestCutAndFlipped(t *testing.T) {
	const salt = Salt(99)
	for _, want := range records {
		b := salt.Append(nil, want)
		got, n, err := salt.Next(b)
		if got.Result == nil {
			got.Result = want.Result
		}
		if err != nil || n != len(b) || !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v read back as %+v, %d of %d bytes, %v", want, got, n, len(b), err)
		}
		if _, _, err := Salt(98).Next(b); !errors.Is(err, ErrDamaged) {
			t.Errorf("under another salt: %v", err)
		}
		for i := range b {
			if _, _, err := salt.Next(b[:i]); !errors.Is(err, ErrShort) {
				t.Fatalf("cut to %d bytes: %v", i, err)
			}
			for bit := range 8 {
				c := bytes.Clone(b)
				c[i] ^= 1 << bit
				if _, _, err := salt.Next(c); err == nil {
					t.Fatalf("kind %d is taken with bit %d of byte %d flipped", want.Kind, bit, i)
				}
			}
		}
	}
}

func TestHead(t *testing.T) {
	head := Head(12)
	if s, err := ReadHead(head); s != 12 || err != nil {
		t.Errorf("%d, %v", s, err)
	}
	if _, err := ReadHead(head[:HeadSize-1]); !errors.Is(err, ErrShort) {
		t.Errorf("cut: %v", err)
	}
	head[4]++
	if _, err := ReadHead(head); !errors.Is(err, ErrVersion) {
		t.Errorf("of the next version: %v", err)
	}
}
