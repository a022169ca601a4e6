package rollout

import (
	"encoding/binary"

	"shelfproxy/internal/fleet/agreement"
	"shelfproxy/internal/fleet/datagram"
)

// Magic is the first byte of each datagram of this package.
const Magic = 'R'

const (
	version = 2

	kindHeartbeat   = 1
	kindSlotRequest = 2
	kindSlotAnswer  = 3

	fractionScale = 255 // a fraction from 0 to 1 is sent as a byte, in units of 1/255

	// Sizes in bytes. The grants of a heartbeat take the space that its other fields leave in a datagram. heartbeatSize is the
	// size without grants: the framing takes 3 and its checksum 4, the fields from Incarnation to Release take 8+4+1+1+4+4, Halt
	// takes 2+1+1+2, Order takes 2+4, Health takes 3, and the number of grants takes 1.
	heartbeatSize = 45
	grantSize     = 2 + 8 + 4 + 1 + 1 + 2
	maxGrants     = (datagram.MaxSize - heartbeatSize) / grantSize
)

var protocol = agreement.Protocol{Magic: Magic, Version: version}

// message is a heartbeat, a slotRequest or a slotAnswer.
type message interface {
	encode() []byte
}

// heartbeat is the message that each node regularly sends to all other nodes.
type heartbeat struct {
	Incarnation  uint64 // greater for each later process of the node
	Sequence     uint32 // number of the heartbeat in this process; a heartbeat that arrives after a later one is ignored
	State        State
	IsAbstaining bool   // the node grants no slot yet, as it does not know what it granted before it started
	LastDone     uint32 // the node's slot requests up to this number are finished: their slots are released
	Release      uint32 // hash of the release that the node runs
	Halt         haltState
	Order        releaseOrder
	Health       health
	Grants       []grant // granted slots that the node knows of, of all nodes
}

// health holds the fractions of failed and of slow responses among a node's recent responses, in units of 1/fractionScale.
type health struct {
	IsKnown      bool // false while the node has too few responses for a rate
	Failed, Slow byte
}

func (h health) failureRate() float64 { return float64(h.Failed) / fractionScale }

func (h health) slowRate() float64 { return float64(h.Slow) / fractionScale }

// haltState says whether the release is halted in the whole fleet, so that no slot is granted. Each change increases the epoch;
// the state with the greatest epoch is valid.
type haltState struct {
	Epoch    uint16
	IsHalted bool
	Reason   Reason
	Node     uint16 // index of the node whose failure caused the halt, or at which an operator halted or resumed the release
}

// releaseOrder says which release the fleet is to run. Each new order has a greater epoch, and the order with the greatest epoch
// is valid. Epoch 0 means that there is no order.
type releaseOrder struct {
	Epoch   uint16
	Release uint32 // hash of the release
}

// grant is a pair of slots that a node was granted: one slot of the fleet and one slot of its zone.
type grant struct {
	Holder         uint16
	Incarnation    uint64 // incarnation of the holder when it made its request
	Request        uint32 // number of the holder's request
	Slot, ZoneSlot uint8
	Zone           uint16 // hash of the zone, cut to 16 bits
}

// slotRequest requests a slot of the fleet and a slot of the zone.
type slotRequest struct {
	Incarnation    uint64
	Number         uint32 // number of the request within the incarnation
	Slot, ZoneSlot uint8
	Zone           uint16 // hash of the zone, cut to 16 bits
}

// slotAnswer grants or denies a slotRequest.
type slotAnswer struct {
	Incarnation uint64 // incarnation in the answered request
	Number      uint32 // number of the answered request
	Reason      Reason // ReasonGranted, or why the request is denied
}

func (m heartbeat) encode() []byte {
	data := protocol.Begin(kindHeartbeat)
	data = binary.BigEndian.AppendUint64(data, m.Incarnation)
	data = binary.BigEndian.AppendUint32(data, m.Sequence)
	data = append(data, byte(m.State), encodeBool(m.IsAbstaining))
	data = binary.BigEndian.AppendUint32(data, m.LastDone)
	data = binary.BigEndian.AppendUint32(data, m.Release)
	data = m.Halt.append(data)
	data = m.Order.append(data)
	data = m.Health.append(data)
	sent := m.Grants[:min(len(m.Grants), maxGrants)]
	data = append(data, byte(len(sent)))
	for _, grant := range sent {
		data = grant.append(data)
	}
	return datagram.Seal(data)
}

func (h haltState) append(data []byte) []byte {
	data = binary.BigEndian.AppendUint16(data, h.Epoch)
	data = append(data, encodeBool(h.IsHalted), byte(h.Reason))
	return binary.BigEndian.AppendUint16(data, h.Node)
}

func (o releaseOrder) append(data []byte) []byte {
	data = binary.BigEndian.AppendUint16(data, o.Epoch)
	return binary.BigEndian.AppendUint32(data, o.Release)
}

func (h health) append(data []byte) []byte {
	return append(data, encodeBool(h.IsKnown), h.Failed, h.Slow)
}

func (g grant) append(data []byte) []byte {
	data = binary.BigEndian.AppendUint16(data, g.Holder)
	data = binary.BigEndian.AppendUint64(data, g.Incarnation)
	data = binary.BigEndian.AppendUint32(data, g.Request)
	data = append(data, g.Slot, g.ZoneSlot)
	return binary.BigEndian.AppendUint16(data, g.Zone)
}

func (m slotRequest) encode() []byte {
	data := protocol.Begin(kindSlotRequest)
	data = binary.BigEndian.AppendUint64(data, m.Incarnation)
	data = binary.BigEndian.AppendUint32(data, m.Number)
	data = append(data, m.Slot, m.ZoneSlot)
	return datagram.Seal(binary.BigEndian.AppendUint16(data, m.Zone))
}

func (m slotAnswer) encode() []byte {
	data := protocol.Begin(kindSlotAnswer)
	data = binary.BigEndian.AppendUint64(data, m.Incarnation)
	data = binary.BigEndian.AppendUint32(data, m.Number)
	return datagram.Seal(append(data, byte(m.Reason)))
}

func encodeBool(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// decode decodes a datagram. The error is agreement.ErrCorruptMessage.
func decode(data []byte) (message, error) {
	kind, fields, err := protocol.Open(data)
	if err != nil {
		return nil, err
	}
	switch kind {
	case kindHeartbeat:
		return decodeHeartbeat(fields)
	case kindSlotRequest:
		return decodeSlotRequest(fields)
	case kindSlotAnswer:
		return decodeSlotAnswer(fields)
	}
	return nil, agreement.ErrCorruptMessage
}

// decodeHeartbeat decodes the fields of a heartbeat. It skips bytes that a later release adds after the grants: the nodes of
// two releases must understand each other while one release replaces the other.
func decodeHeartbeat(fields *datagram.Reader) (message, error) {
	beat := heartbeat{
		Incarnation:  fields.U64(),
		Sequence:     fields.U32(),
		State:        State(fields.U8()),
		IsAbstaining: decodeBool(fields),
		LastDone:     fields.U32(),
		Release:      fields.U32(),
		Halt:         haltState{Epoch: fields.U16(), IsHalted: decodeBool(fields), Reason: Reason(fields.U8()), Node: fields.U16()},
		Order:        releaseOrder{Epoch: fields.U16(), Release: fields.U32()},
		Health:       health{IsKnown: decodeBool(fields), Failed: fields.U8(), Slow: fields.U8()},
	}
	for range fields.U8() {
		beat.Grants = append(beat.Grants, grant{Holder: fields.U16(), Incarnation: fields.U64(), Request: fields.U32(),
			Slot: fields.U8(), ZoneSlot: fields.U8(), Zone: fields.U16()})
	}
	if beat.State >= numStates || beat.Halt.Reason >= numReasons || !fields.IsValid() {
		return nil, agreement.ErrCorruptMessage
	}
	return beat, nil
}

func decodeSlotRequest(fields *datagram.Reader) (message, error) {
	m := slotRequest{Incarnation: fields.U64(), Number: fields.U32(), Slot: fields.U8(), ZoneSlot: fields.U8(), Zone: fields.U16()}
	if !fields.IsValid() || !fields.IsEmpty() {
		return nil, agreement.ErrCorruptMessage
	}
	return m, nil
}

func decodeSlotAnswer(fields *datagram.Reader) (message, error) {
	m := slotAnswer{Incarnation: fields.U64(), Number: fields.U32(), Reason: Reason(fields.U8())}
	if m.Reason >= numReasons || !fields.IsValid() || !fields.IsEmpty() {
		return nil, agreement.ErrCorruptMessage
	}
	return m, nil
}

func decodeBool(fields *datagram.Reader) bool { return fields.U8() == 1 }
