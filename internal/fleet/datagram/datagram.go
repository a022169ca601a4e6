// Package datagram is the outer form that all agreements between nodes share: one byte that tells an agreement's datagrams from other
// traffic, one of version, one of kind, what the kind says, and a sum of all that. Numbers are big-endian. It has no clock and no I/O.
package datagram

import (
	"encoding/binary"
	"hash/crc32"
)

// MaxSize is how long a datagram may be on the platform.
const MaxSize = 256

const (
	header = 3
	sum    = 4
)

// MaxPayload is how many bytes a kind's own part may have.
const MaxPayload = MaxSize - header - sum

// Begin is a datagram without its content.
func Begin(mark, version, kind byte) []byte {
	return append(make([]byte, 0, MaxSize), mark, version, kind)
}

// Seal adds the sum.
func Seal(b []byte) []byte { return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b)) }

// Open checks the outer form; ok is false for what nobody of this mark and version sealed.
func Open(b []byte, mark, version byte) (kind byte, body *Reader, ok bool) {
	if len(b) < header+sum || len(b) > MaxSize || b[0] != mark || b[1] != version {
		return 0, nil, false
	}
	content := b[:len(b)-sum]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(b[len(content):]) {
		return 0, nil, false
	}
	return b[2], &Reader{left: content[header:]}, true
}

// Reader takes numbers off a body. Past its end they are 0, and it is bad.
type Reader struct {
	left []byte
	bad  bool
}

func (r *Reader) take(n int) []byte {
	if len(r.left) < n {
		r.bad, r.left = true, nil
		return make([]byte, n)
	}
	v := r.left[:n]
	r.left = r.left[n:]
	return v
}

// U8 is the next byte.
func (r *Reader) U8() byte { return r.take(1)[0] }

// U16 is the next two bytes.
func (r *Reader) U16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }

// U32 is the next four bytes.
func (r *Reader) U32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

// U64 is the next eight bytes.
func (r *Reader) U64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

// IsValid tells whether all that was asked for was there. What a later version says behind it is skipped.
func (r *Reader) IsValid() bool { return !r.bad }

// IsEmpty tells whether nothing is left.
func (r *Reader) IsEmpty() bool { return len(r.left) == 0 }
