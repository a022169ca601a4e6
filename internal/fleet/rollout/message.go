package rollout

import (
	"encoding/binary"

	"shelfproxy/internal/fleet/agreement"
	"shelfproxy/internal/fleet/datagram"
)

// The datagrams of this package; a garbled one must not pass for a grant, which their sums see to.
const (
	Magic   = 'R'
	version = 2

	kindBeacon = 1
	kindAsk    = 2
	kindAnswer = 3
)

// protocol is the outer form of the datagrams of this version.
var protocol = agreement.Protocol{Magic: Magic, Version: version}

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
const tableRoom = (datagram.MaxSize - 45) / entrySize

func (m beacon) encode() []byte {
	b := protocol.Begin(kindBeacon)
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
	return datagram.Seal(b)
}

func (m ask) encode() []byte {
	b := protocol.Begin(kindAsk)
	b = binary.BigEndian.AppendUint64(b, m.Start)
	b = binary.BigEndian.AppendUint32(b, m.Ask)
	b = append(b, m.Slot, m.Zone)
	return datagram.Seal(binary.BigEndian.AppendUint16(b, m.Name))
}

func (m answer) encode() []byte {
	b := protocol.Begin(kindAnswer)
	b = binary.BigEndian.AppendUint64(b, m.Start)
	b = binary.BigEndian.AppendUint32(b, m.Ask)
	return datagram.Seal(append(b, byte(m.Reason)))
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// decode reads a datagram: a beacon, an ask or an answer.
func decode(data []byte) (any, error) {
	kind, r, err := protocol.Open(data)
	if err != nil {
		return nil, err
	}
	var m any
	bad, later := false, false // later: what a later version says behind is skipped
	switch kind {
	case kindBeacon:
		v := beacon{Start: r.U64(), Count: r.U32(), State: State(r.U8()), Learns: r.U8() == 1, Done: r.U32(), Release: r.U32(),
			Halt:   halt{Epoch: r.U16(), On: r.U8() == 1, Reason: Reason(r.U8()), By: r.U16()},
			Order:  order{Epoch: r.U16(), Release: r.U32()},
			Health: health{Known: r.U8() == 1, Failed: r.U8(), Slow: r.U8()}}
		for range r.U8() {
			v.Table = append(v.Table, entry{Holder: r.U16(), Start: r.U64(), Ask: r.U32(), Slot: r.U8(), Zone: r.U8(), Name: r.U16()})
		}
		bad, later = v.State >= states || v.Halt.Reason >= reasons, true
		m = v
	case kindAsk:
		m = ask{Start: r.U64(), Ask: r.U32(), Slot: r.U8(), Zone: r.U8(), Name: r.U16()}
	case kindAnswer:
		v := answer{Start: r.U64(), Ask: r.U32(), Reason: Reason(r.U8())}
		bad = v.Reason >= reasons
		m = v
	default:
		return nil, agreement.ErrCorruptMessage
	}
	if bad || !r.IsValid() || !later && !r.IsEmpty() {
		return nil, agreement.ErrCorruptMessage
	}
	return m, nil
}
