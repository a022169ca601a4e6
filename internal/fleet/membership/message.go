package membership

import (
	"encoding/binary"
	"errors"

	"shelfproxy/internal/fleet/datagram"
)

// Every datagram holds the name of the list of nodes, a number that an answer repeats, the node that is asked about, and news of 9
// bytes each, as many as fit. What a later version says behind the news is skipped.
const (
	Magic   = 'M'
	version = 1

	kindPing = 1
	kindAck  = 2
	kindAsk  = 3

	fixed    = 4 + 4 + 2 + 1
	newsSize = 2 + 5 + 1 + 1
	mostNews = (datagram.MaxPayload - fixed) / newsSize

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
	b := datagram.Begin(Magic, version, m.kind)
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
	return datagram.Seal(b)
}

func decode(b []byte) (m message, err error) {
	kind, r, ok := datagram.Open(b, Magic, version)
	if !ok || kind < kindPing || kind > kindAsk {
		return m, errGarbled
	}
	m = message{kind: kind, fleet: r.U32(), seq: r.U32(), node: r.U16()}
	for range r.U8() {
		s := news{node: r.U16(), life: lifeFrom + uint64(r.U8())<<32 + uint64(r.U32()), word: r.U8(), state: State(r.U8())}
		if !r.IsValid() || s.state == Unknown || s.state >= states {
			return m, errGarbled
		}
		m.news = append(m.news, s)
	}
	if !r.IsValid() {
		return m, errGarbled
	}
	return m, nil
}
