package rollout

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Every datagram is one byte that tells it from other traffic between nodes, one of version, one of kind, the body, and a
// sum of all that: a garbled one must not pass for a grant. Numbers are big-endian. None is longer than the platform's 256
// bytes.
const (
	Mark    = 'R'
	version = 2

	kindBeacon = 1
	kindAsk    = 2
	kindAnswer = 3

	maxBytes = 256
)

// errGarbled is returned for what no node of this version sent.
var errGarbled = errors.New("rollout: no message of this version")

// beacon is what each node says of itself to all, all the time.
type beacon struct {
	Start   uint64 // the node's start: greater for each of its processes
	Count   uint32 // of this process's beacons: an older one that comes later counts for nothing
	State   State
	Learns  bool   // it grants nothing yet: what it granted before it started is unknown to it
	Done    uint32 // asks up to this number are over
	Release uint32
	Halt    halt
	Order   order
	Health  health
	Table   []entry // what it has granted
}

// health is how a node's answers of late went, in parts of 255. Without answers enough to tell it is known to be nothing.
type health struct {
	Known        bool
	Failed, Slow byte
}

// halt stops grants everywhere, or lets them go on; the greatest epoch holds.
type halt struct {
	Epoch  uint16
	On     bool
	Reason Reason
	By     uint16
}

// order tells which release the fleet should run; the greatest epoch holds, none has epoch 0.
type order struct {
	Epoch   uint16
	Release uint32
}

// entry is a slot that is taken: one of the fleet's and one of the holder's zone.
type entry struct {
	Holder     uint16
	Start      uint64
	Ask        uint32
	Slot, Zone uint8
	Name       uint16 // of the zone
}

// ask wants a slot of the fleet's and one of the zone's.
type ask struct {
	Start      uint64
	Ask        uint32
	Slot, Zone uint8
	Name       uint16
}

// answer grants an ask or says why not.
type answer struct {
	Start  uint64 // of the asker
	Ask    uint32
	Reason Reason // Granted, or why not
}

const entrySize = 2 + 8 + 4 + 1 + 1 + 2

// Sizes: 3 + 8+4+1+1+4+4 + 2+1+1+2 + 2+4 + 3 + 1 + 4 of the sum; the table takes what is left. What a later version says
// behind the table is skipped: the nodes of two releases must understand each other while one takes the other's place.
const tableRoom = (maxBytes - 45) / entrySize

func open(kind byte) []byte { return append(make([]byte, 0, maxBytes), Mark, version, kind) }

func seal(b []byte) []byte { return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b)) }

func (m beacon) encode() []byte {
	b := open(kindBeacon)
	b = binary.BigEndian.AppendUint64(b, m.Start)
	b = binary.BigEndian.AppendUint32(b, m.Count)
	b = append(b, byte(m.State), bit(m.Learns))
	b = binary.BigEndian.AppendUint32(b, m.Done)
	b = binary.BigEndian.AppendUint32(b, m.Release)
	b = binary.BigEndian.AppendUint16(b, m.Halt.Epoch)
	b = append(b, bit(m.Halt.On), byte(m.Halt.Reason))
	b = binary.BigEndian.AppendUint16(b, m.Halt.By)
	b = binary.BigEndian.AppendUint16(b, m.Order.Epoch)
	b = binary.BigEndian.AppendUint32(b, m.Order.Release)
	b = append(b, bit(m.Health.Known), m.Health.Failed, m.Health.Slow)
	n := min(len(m.Table), tableRoom)
	b = append(b, byte(n))
	for _, e := range m.Table[:n] {
		b = binary.BigEndian.AppendUint16(b, e.Holder)
		b = binary.BigEndian.AppendUint64(b, e.Start)
		b = binary.BigEndian.AppendUint32(b, e.Ask)
		b = append(b, e.Slot, e.Zone)
		b = binary.BigEndian.AppendUint16(b, e.Name)
	}
	return seal(b)
}

func (m ask) encode() []byte {
	b := open(kindAsk)
	b = binary.BigEndian.AppendUint64(b, m.Start)
	b = binary.BigEndian.AppendUint32(b, m.Ask)
	b = append(b, m.Slot, m.Zone)
	return seal(binary.BigEndian.AppendUint16(b, m.Name))
}

func (m answer) encode() []byte {
	b := open(kindAnswer)
	b = binary.BigEndian.AppendUint64(b, m.Start)
	b = binary.BigEndian.AppendUint32(b, m.Ask)
	return seal(append(b, byte(m.Reason)))
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// reader takes numbers off a body; past its end they are 0 and it is bad.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.bad = true
		return make([]byte, n)
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) u8() byte    { return r.take(1)[0] }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

// decode reads a datagram: a beacon, an ask or an answer.
func decode(data []byte) (any, error) {
	if len(data) < 7 || len(data) > maxBytes || data[0] != Mark || data[1] != version {
		return nil, errGarbled
	}
	body, sum := data[:len(data)-4], binary.BigEndian.Uint32(data[len(data)-4:])
	if crc32.ChecksumIEEE(body) != sum {
		return nil, errGarbled
	}
	r := &reader{b: body[3:]}
	var m any
	switch body[2] {
	case kindBeacon:
		v := beacon{Start: r.u64(), Count: r.u32(), State: State(r.u8()), Learns: r.u8() == 1, Done: r.u32(), Release: r.u32(),
			Halt:   halt{Epoch: r.u16(), On: r.u8() == 1, Reason: Reason(r.u8()), By: r.u16()},
			Order:  order{Epoch: r.u16(), Release: r.u32()},
			Health: health{Known: r.u8() == 1, Failed: r.u8(), Slow: r.u8()}}
		for range r.u8() {
			v.Table = append(v.Table, entry{Holder: r.u16(), Start: r.u64(), Ask: r.u32(), Slot: r.u8(), Zone: r.u8(), Name: r.u16()})
		}
		r.bad = r.bad || v.State >= states || v.Halt.Reason >= reasons
		r.b = nil // of a later version
		m = v
	case kindAsk:
		m = ask{Start: r.u64(), Ask: r.u32(), Slot: r.u8(), Zone: r.u8(), Name: r.u16()}
	case kindAnswer:
		v := answer{Start: r.u64(), Ask: r.u32(), Reason: Reason(r.u8())}
		r.bad = r.bad || v.Reason >= reasons
		m = v
	default:
		return nil, errGarbled
	}
	if r.bad || len(r.b) > 0 {
		return nil, errGarbled
	}
	return m, nil
}
