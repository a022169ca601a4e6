// Package datagram implements the outer format of the datagrams by which nodes agree on leases, on drains and on which nodes are
// running. A datagram consists of a magic byte that identifies the protocol, one byte each for the protocol's version and the
// kind of message, the fields of that kind, and a CRC-32 of all these bytes. Numbers are big-endian. The package has no clock, no
// I/O and no state.
package datagram

import (
	"encoding/binary"
	"hash/crc32"
)

// MaxSize is the size in bytes of the longest datagram that the platform carries.
const MaxSize = 256

const (
	headerSize   = 3 // one byte each for the magic byte, the version and the kind of message
	checksumSize = 4
)

// MaxPayload is the greatest total size of a datagram's fields, in bytes.
const MaxPayload = MaxSize - headerSize - checksumSize

// Begin returns the header of a datagram, which holds the three arguments. The caller appends the fields and passes the result to
// Seal.
func Begin(magic, version, kind byte) []byte {
	return append(make([]byte, 0, MaxSize), magic, version, kind)
}

// Seal appends the checksum to data, which holds a header and the fields. This completes the datagram.
func Seal(data []byte) []byte {
	return binary.BigEndian.AppendUint32(data, crc32.ChecksumIEEE(data))
}

// Open verifies the size, the header and the checksum of a datagram and returns its kind and a reader of its fields. It returns
// ok = false for a datagram that was damaged, was cut short, or has another magic byte or version.
func Open(data []byte, magic, version byte) (kind byte, fields *Reader, ok bool) {
	if len(data) < headerSize+checksumSize || len(data) > MaxSize || data[0] != magic || data[1] != version {
		return 0, nil, false
	}
	content := data[:len(data)-checksumSize]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(data[len(content):]) {
		return 0, nil, false
	}
	return data[2], &Reader{left: content[headerSize:]}, true
}

// Reader reads the fields of a datagram one after the other. Reading past the end returns 0 and makes the reader invalid. A
// Reader is not safe for concurrent use.
type Reader struct {
	left      []byte
	isInvalid bool
}

func (r *Reader) take(size int) []byte {
	if len(r.left) < size {
		r.isInvalid, r.left = true, nil
		return make([]byte, size)
	}
	taken := r.left[:size]
	r.left = r.left[size:]
	return taken
}

// U8 reads the next byte as a number.
func (r *Reader) U8() byte { return r.take(1)[0] }

// U16 reads the next two bytes as a number.
func (r *Reader) U16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }

// U32 reads the next four bytes as a number.
func (r *Reader) U32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

// U64 reads the next eight bytes as a number.
func (r *Reader) U64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

// IsValid reports whether the datagram was long enough for all fields that were read. Further fields at its end, which a later
// version may add, do not matter.
func (r *Reader) IsValid() bool { return !r.isInvalid }

// IsEmpty reports whether the datagram has no field left to read.
func (r *Reader) IsEmpty() bool { return len(r.left) == 0 }
