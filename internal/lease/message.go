package lease

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Every datagram is one byte that tells it from other traffic between nodes, one of version, one of kind, the list of peers
// and the duty by their numbers, the token, and what the kind adds; then a sum of all that. Numbers are big-endian. None is
// longer than 48 bytes. What a later version says behind the known fields is skipped.
const (
	Mark    = 'L'
	version = 1

	kindAsk     = 1 // + round, flags
	kindAnswer  = 2 // + round, reason, greatest token known, milliseconds for which another node has it
	kindRelease = 3
	kindWord    = 4

	flagHeld = 1 // the asker holds the duty already

	maxBytes = 256
	fixed    = 3 + 4 + 4 + 8
	sumBytes = 4
)

// errGarbled is returned for what no node of this version sent.
var errGarbled = errors.New("lease: no message of this version")

// message is any of them.
type message struct {
	kind        byte
	fleet, duty uint32
	token       uint64
	round       uint32
	flags       byte
	why         Reason
	high        uint64
	left        uint32
}

func (c *Core) message(kind byte, duty uint32, token uint64, round uint32, flags byte) []byte {
	return message{kind: kind, fleet: c.cfg.Fleet, duty: duty, token: token, round: round, flags: flags}.encode()
}

func (m message) encode() []byte {
	b := append(make([]byte, 0, 48), Mark, version, m.kind)
	b = binary.BigEndian.AppendUint32(b, m.fleet)
	b = binary.BigEndian.AppendUint32(b, m.duty)
	b = binary.BigEndian.AppendUint64(b, m.token)
	switch m.kind {
	case kindAsk:
		b = append(binary.BigEndian.AppendUint32(b, m.round), m.flags)
	case kindAnswer:
		b = append(binary.BigEndian.AppendUint32(b, m.round), byte(m.why))
		b = binary.BigEndian.AppendUint64(b, m.high)
		b = binary.BigEndian.AppendUint32(b, m.left)
	}
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

func decode(b []byte) (m message, err error) {
	if len(b) < fixed+sumBytes || len(b) > maxBytes || b[0] != Mark || b[1] != version {
		return m, errGarbled
	}
	body, sum := b[:len(b)-sumBytes], binary.BigEndian.Uint32(b[len(b)-sumBytes:])
	if crc32.ChecksumIEEE(body) != sum {
		return m, errGarbled
	}
	m = message{kind: body[2], fleet: binary.BigEndian.Uint32(body[3:]), duty: binary.BigEndian.Uint32(body[7:]),
		token: binary.BigEndian.Uint64(body[11:])}
	rest := body[fixed:]
	switch {
	case m.kind == kindAsk && len(rest) >= 5:
		m.round, m.flags = binary.BigEndian.Uint32(rest), rest[4]
	case m.kind == kindAnswer && len(rest) >= 17:
		m.round, m.why, m.high = binary.BigEndian.Uint32(rest), Reason(rest[4]), binary.BigEndian.Uint64(rest[5:])
		m.left = binary.BigEndian.Uint32(rest[13:])
		if m.why >= reasons {
			return m, errGarbled
		}
	case m.kind == kindRelease || m.kind == kindWord:
	default:
		return m, errGarbled
	}
	return m, nil
}
