package runlog

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"sloehitch/internal/idempotency/runlog/bookingpb"
	"sloehitch/internal/ledger"
	"sloehitch/internal/node"
)

// keyPrefix separates run records from other records in the ledger. It is part of the stored format, as are the
// names in package bookingpb.
const keyPrefix = "booking/"

// encode returns a batch that writes the record of a run.
func (l *Log) encode(record node.RunRecord, stage bookingpb.Booking_Stage) (*ledger.Batch, error) {
	value, err := proto.Marshal(&bookingpb.Booking{
		Stage:     stage,
		Class:     record.Class,
		Digest:    record.Fingerprint[:],
		ArrivedUs: record.ArrivedAt.UnixMicro(),
		Request:   []byte(record.RequestID),
		WindowUs:  record.Window.Microseconds(),
		Served:    record.Succeeded,
		Kept:      record.ResultStored,
		Result:    record.Result,
		Front:     record.Protocol,
	})
	if err != nil {
		return nil, fmt.Errorf("encode run record %q: %w", record.Key, err)
	}
	batch := &ledger.Batch{}
	batch.Put([]byte(keyPrefix+record.Key), value, record.ArrivedAt.Add(record.Window+l.retentionMargin))
	return batch, nil
}

// decode decodes the record of the run with an idempotency key.
func decode(key string, value []byte) (node.RunRecord, error) {
	var v bookingpb.Booking
	if err := proto.Unmarshal(value, &v); err != nil {
		return node.RunRecord{}, fmt.Errorf("decode run record %q: %w", key, err)
	}
	record := node.RunRecord{
		Key:          key,
		Class:        v.Class,
		ArrivedAt:    time.UnixMicro(v.ArrivedUs),
		RequestID:    string(v.Request),
		Window:       time.Duration(v.WindowUs) * time.Microsecond,
		Ended:        v.Stage == bookingpb.Booking_STAGE_ENDED,
		Succeeded:    v.Served,
		ResultStored: v.Kept,
		Result:       v.Result,
		Protocol:     v.Front,
	}
	copied := copy(record.Fingerprint[:], v.Digest)
	if copied != len(record.Fingerprint) || v.Stage == bookingpb.Booking_STAGE_UNSPECIFIED {
		return node.RunRecord{}, fmt.Errorf("decode run record %q: stage or fingerprint is missing", key)
	}
	return record, nil
}

// ForEach calls fn for each record that has not expired, in the order of the keys. It reads from disk. A record that
// can't be read is an error: if it were skipped, its request could run twice.
func (l *Log) ForEach(fn func(node.RunRecord)) error {
	return l.store.Scan([]byte(keyPrefix), func(p ledger.Pair) error {
		record, err := decode(string(p.Key[len(keyPrefix):]), p.Value)
		if err != nil {
			return err
		}
		fn(record)
		return nil
	})
}
