package lease

import (
	"encoding/binary"

	"shelfproxy/internal/fleet/agreement"
	"shelfproxy/internal/fleet/datagram"
)

// Every datagram holds the list of peers and the duty by their numbers, the token, and what the kind adds. None is longer than 48
// bytes. What a later version says behind the known fields is skipped.
const (
	Magic   = 'L'
	version = 1

	kindAsk     = 1 // + round, flags
	kindAnswer  = 2 // + round, reason, greatest token known, milliseconds for which another node has it
	kindRelease = 3
	kindWord    = 4

	flagHeld = 1 // the asker holds the duty already
)

// protocol is the outer form of the datagrams of this version.
var protocol = agreement.Protocol{Magic: Magic, Version: version}

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
	return message{kind: kind, fleet: c.cfg.PeerListID, duty: duty, token: token, round: round, flags: flags}.encode()
}

func (m message) encode() []byte {
	b := protocol.Begin(m.kind)
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
	return datagram.Seal(b)
}

func decode(b []byte) (m message, err error) {
	kind, r, err := protocol.Open(b)
	if err != nil {
		return m, err
	}
	m = message{kind: kind, fleet: r.U32(), duty: r.U32(), token: r.U64()}
	switch kind {
	case kindAsk:
		m.round, m.flags = r.U32(), r.U8()
	case kindAnswer:
		m.round, m.why, m.high, m.left = r.U32(), Reason(r.U8()), r.U64(), r.U32()
	case kindRelease, kindWord:
	default:
		return m, agreement.ErrCorruptMessage
	}
	if !r.IsValid() || m.why >= reasons {
		return m, agreement.ErrCorruptMessage
	}
	return m, nil
}
