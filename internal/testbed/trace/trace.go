// Package trace keeps the requests of a load, with the times at which they were due, in a file, so that they can be
// inspected, cut, scaled, anonymised and replayed. It knows arrivals, not sockets.
//
// A file begins with the eight bytes "SLTRACE1", the last of which is the version. Blocks follow, each with its length
// (4 bytes, little-endian), the CRC32C of its content (4 bytes) and its content. The first block is the metadata, as
// JSON; each other one holds requests, in the order in which they were due:
//
//	number of requests   uvarint
//	for each: microseconds since the one before (since 0 for the first of a block: since the start), class, node,
//	size: uvarint each; length and bytes of the key; length and bytes of the idempotency key
//
// Blocks are only ever added at the end. An incomplete last block, left by a writer that was interrupted, is ignored by a
// reader and reported by Torn; a corrupt block with others behind it is an error.
package trace

import (
	"encoding/binary"
	"hash/crc32"
	"time"
)

const (
	magic        = "SLTRACE1" // of which the last byte is the version
	versionIndex = len(magic) - 1

	blockHeaderSize  = 8        // bytes of the length and the checksum of a block
	requestsPerBlock = 256      // requests in a full block
	maxBlockSize     = 16 << 20 // bytes of the content of a block
	maxTextSize      = 64 << 10 // bytes of a key or an idempotency key
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Meta is the metadata of a trace.
type Meta struct {
	Classes   []string  `json:"classes"` // names of the classes, by the numbers that requests have
	Nodes     int       `json:"nodes"`
	From      string    `json:"from,omitempty"` // where the trace came from, in the words of its author
	StartedAt time.Time `json:"began,omitzero"`
}

// blockHeader is the length and the checksum of a block's content.
type blockHeader struct {
	length   uint32
	checksum uint32
}

func headerOf(content []byte) blockHeader {
	return blockHeader{length: uint32(len(content)), checksum: crc32.Checksum(content, castagnoli)}
}

func (h blockHeader) encode() []byte {
	encoded := binary.LittleEndian.AppendUint32(make([]byte, 0, blockHeaderSize), h.length)
	return binary.LittleEndian.AppendUint32(encoded, h.checksum)
}

func decodeHeader(encoded [blockHeaderSize]byte) blockHeader {
	return blockHeader{length: binary.LittleEndian.Uint32(encoded[:4]), checksum: binary.LittleEndian.Uint32(encoded[4:])}
}
