package format

import "encoding/binary"

// BlockHeaderSize is the encoded size of a BlockHeader in bytes.
const BlockHeaderSize = 24

// Values of the compression field in a block header.
const (
	compressionNone = 0
	compressionZstd = 1
)

// BlockHeader describes a block of a cold segment.
type BlockHeader struct {
	CompressedBytes, RawBytes int
	Compressed                bool  // with zstd; false if the bytes are stored uncompressed
	RawOffset                 int64 // offset of the first record of the block in the decompressed segment
}

// AppendBlock appends to b a block encoded for the given file offset and segment salt. compressed holds the block's content
// as it is stored. h.CompressedBytes is ignored.
func AppendBlock(b []byte, salt uint32, offset int64, h BlockHeader, compressed []byte) []byte {
	start := len(b)
	le := binary.LittleEndian
	b = le.AppendUint32(b, 0)
	b = le.AppendUint32(b, uint32(len(compressed)))
	b = le.AppendUint32(b, uint32(h.RawBytes))
	method := uint32(compressionNone)
	if h.Compressed {
		method = compressionZstd
	}
	b = le.AppendUint32(b, method)
	b = le.AppendUint64(b, uint64(h.RawOffset))
	b = append(b, compressed...)
	le.PutUint32(b[start:], checksum(salt, offset, b[start+4:]))
	return b
}

// DecodeBlock decodes the block at the start of b, which was read from the given file offset of the segment with the given
// salt. It returns the header and the stored bytes, which alias b. The error is ErrShort or ErrInvalid.
func DecodeBlock(b []byte, salt uint32, offset int64) (BlockHeader, []byte, error) {
	header, err := DecodeBlockHeader(b)
	if err != nil {
		return header, nil, err
	}
	end := BlockHeaderSize + header.CompressedBytes
	if len(b) < end {
		return header, nil, ErrShort
	}
	if binary.LittleEndian.Uint32(b) != checksum(salt, offset, b[4:end]) {
		return header, nil, ErrInvalid
	}
	return header, b[BlockHeaderSize:end], nil
}

// DecodeBlockHeader decodes a block header without verifying the checksum. The error is ErrShort or ErrInvalid.
func DecodeBlockHeader(b []byte) (BlockHeader, error) {
	if len(b) < BlockHeaderSize {
		return BlockHeader{}, ErrShort
	}
	le := binary.LittleEndian
	header := BlockHeader{
		CompressedBytes: int(le.Uint32(b[4:])),
		RawBytes:        int(le.Uint32(b[8:])),
		Compressed:      le.Uint32(b[12:]) == compressionZstd,
		RawOffset:       int64(le.Uint64(b[16:])),
	}
	known := le.Uint32(b[12:]) <= compressionZstd
	sizesMatch := header.Compressed || header.CompressedBytes == header.RawBytes
	if !known || !sizesMatch || header.RawBytes == 0 || header.RawOffset < SegmentHeaderSize {
		return BlockHeader{}, ErrInvalid
	}
	return header, nil
}
