// Package trace stores the requests of a load in a file, with the times at which they were due, so that the requests can
// be inspected, cut, scaled, anonymised and replayed. The package reads and writes files only; it sends no requests.
//
// A file begins with the eight bytes "SLTRACE1", the last of which is the version. Blocks follow, each with its length
// (4 bytes, little-endian), the CRC32C of its content (4 bytes) and its content. The first block contains the metadata as
// JSON. Each other block contains requests, in the order in which they were due:
//
//	number of requests: uvarint
//	for each request:
//	    microseconds since the previous request in the block (for the first: since the start of the load): uvarint
//	    class, node and size: uvarint each
//	    length (uvarint) and bytes of the key
//	    length (uvarint) and bytes of the idempotency key
//
// Blocks are only added at the end of the file. If a writer was interrupted, the last block may be incomplete: a reader
// ignores such a block, and Torn reports its size. A corrupt block with further blocks behind it is an error.
package trace

import (
	"encoding/binary"
	"hash/crc32"
	"time"
)

const (
	magic        = "SLTRACE1" // the last byte is the version of the format
	versionIndex = len(magic) - 1

	blockHeaderSize  = 8        // size of the length and the checksum of a block, in bytes
	requestsPerBlock = 256      // number of requests in a full block
	maxBlockSize     = 16 << 20 // maximum size of the content of a block, in bytes
	maxTextSize      = 64 << 10 // maximum size of a key or an idempotency key, in bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Meta is the metadata of a trace.
type Meta struct {
	Classes   []string  `json:"classes"` // names of the classes, by class number
	Nodes     int       `json:"nodes"`
	From      string    `json:"from,omitempty"` // free text that says where the trace comes from
	StartedAt time.Time `json:"began,omitzero"`
}

// blockHeader holds the length and the checksum of the content of a block.
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
