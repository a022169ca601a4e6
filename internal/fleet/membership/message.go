package membership

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Every datagram is one byte that tells it from other traffic between nodes, one of version, one of kind, the name of the list of
// nodes, a number that an answer repeats, the node that is asked about, and news of 9 bytes each, as many as fit; then a sum of all
// that. Numbers are big-endian.
const (
	Mark    = 'M'
	version = 1

	kindPing = 1
	kindAck  = 2
	kindAsk  = 3

	maxBytes = 256
	fixed    = 3 + 4 + 4 + 2 + 1
	newsSize = 2 + 5 + 1 + 1
	sumBytes = 4
	mostNews = (maxBytes - fixed - sumBytes) / newsSize

	// Lives are told as milliseconds since then, in 40 bits.
	lifeFrom = 1_577_836_800_000 // 2020-01-01
	lifeMost = 1<<40 - 1
)

var errGarbled = errors.New("membership: no message of this version")

// news is what one datagram says of one node.
type news struct {
	node  uint16
	life  uint64
	word  uint8
	state State
}

type message struct {
	kind  byte
	fleet uint32
	seq   uint32
	node  uint16 // kindAsk: who is asked about
	news  []news
}

func (m message) encode() []byte {
	n := min(len(m.news), mostNews)
	b := append(make([]byte, 0, fixed+n*newsSize+sumBytes), Mark, version, m.kind)
	b = binary.BigEndian.AppendUint32(b, m.fleet)
	b = binary.BigEndian.AppendUint32(b, m.seq)
	b = binary.BigEndian.AppendUint16(b, m.node)
	b = append(b, byte(n))
	for _, s := range m.news[:n] {
		b = binary.BigEndian.AppendUint16(b, s.node)
		life := min(max(s.life, lifeFrom)-lifeFrom, lifeMost)
		b = append(b, byte(life>>32))
		b = binary.BigEndian.AppendUint32(b, uint32(life))
		b = append(b, s.word, byte(s.state))
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
	m = message{kind: body[2], fleet: binary.BigEndian.Uint32(body[3:]), seq: binary.BigEndian.Uint32(body[7:]), node: binary.BigEndian.Uint16(body[11:])}
	n, rest := int(body[13]), body[fixed:]
	if m.kind < kindPing || m.kind > kindAsk || len(rest) < n*newsSize {
		return m, errGarbled
	}
	for range n { // what a later version says behind the news is skipped
		s := news{node: binary.BigEndian.Uint16(rest), life: lifeFrom + uint64(rest[2])<<32 + uint64(binary.BigEndian.Uint32(rest[3:])),
			word: rest[7], state: State(rest[8])}
		if s.state == Unknown || s.state >= states {
			return m, errGarbled
		}
		m.news = append(m.news, s)
		rest = rest[newsSize:]
	}
	return m, nil
}
