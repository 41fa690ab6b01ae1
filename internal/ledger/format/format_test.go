package format

import (
	"bytes"
	"testing"
)

func FuzzRecord(f *testing.F) {
	rec := Record{Kind: KindPut, BatchContinues: true, Sequence: 7, ExpiryMillis: 9, Key: []byte("key"), Value: []byte("value")}
	f.Add(AppendRecord(nil, 1, 36, &rec), uint32(1), int64(36))
	f.Add(AppendGroup(nil, 1, 36, 36, 5), uint32(1), int64(36))
	f.Add(AppendRecord(nil, 1, 99, &Record{Kind: KindDelete, Sequence: 1, Key: []byte("k")}), uint32(2), int64(99))
	h, _ := SegmentHeader{Number: 3, Cold: true}.Append(nil)
	f.Add(h, uint32(0), int64(0))
	f.Add((&Manifest{NextSegment: 2, Segments: []SegmentEntry{{Number: 1, Size: ActiveSegmentSize}}}).Append(nil), uint32(0), int64(0))
	f.Add(AppendBlock(nil, 1, 36, BlockHeader{RawBytes: 3, RawOffset: 36}, []byte("abc")), uint32(1), int64(36))
	f.Fuzz(func(t *testing.T, b []byte, salt uint32, off int64) {
		if r, err := DecodeRecord(b, salt, off); err == nil {
			if encoded := AppendRecord(nil, salt, off, &r); !bytes.Equal(encoded, b[:len(encoded)]) {
				t.Errorf("record %+v: encoded as %x, decoded from %x", r, encoded, b)
			}
			if _, err := DecodeRecord(b, salt, off+1); err == nil {
				t.Error("record is also valid at offset+1")
			}
		}
		if m, _, err := DecodeManifest(b); err == nil && !bytes.Equal(m.Append(nil), b) {
			t.Errorf("manifest %+v: encoding differs from the decoded bytes", m)
		}
		if h, _, err := DecodeSegmentHeader(b); err == nil {
			if encoded, _ := h.Append(nil); !bytes.Equal(encoded, b[:len(encoded)]) {
				t.Errorf("segment header %+v: encoded as %x, decoded from %x", h, encoded, b)
			}
		}
		if h, stored, err := DecodeBlock(b, salt, off); err == nil {
			if encoded := AppendBlock(nil, salt, off, h, stored); !bytes.Equal(encoded, b[:len(encoded)]) {
				t.Errorf("block %+v: encoding differs from the decoded bytes", h)
			}
		}
		FindFlushed(b, salt, off)
	})
}
