package membership

import (
	"encoding/binary"

	"shelfproxy/internal/fleet/agreement"
	"shelfproxy/internal/fleet/datagram"
)

// Magic is the first byte of the datagrams of this package.
const Magic = 'M'

var protocol = agreement.Protocol{Magic: Magic, Version: 1}

// The kinds of messages.
const (
	kindPing        = 1
	kindAck         = 2
	kindPingRequest = 3
)

// A datagram holds the identifier of the list of nodes, a sequence number that an ack repeats, the node that a ping-req is
// about, the number of updates, and these. What a later version writes behind them is skipped.
const (
	fixedBytes  = 4 + 4 + 2 + 1
	updateBytes = 2 + 5 + 1 + 1
	maxUpdates  = (datagram.MaxPayload - fixedBytes) / updateBytes
)

// Incarnations are sent as milliseconds since minIncarnation, in 40 bits.
const (
	minIncarnation       = 1_577_836_800_000 // 2020-01-01 in Unix milliseconds
	maxIncarnationOffset = 1<<40 - 1
)

type message struct {
	kind       byte
	peerListID uint32
	sequence   uint32
	target     uint16 // node to ping, of a kindPingRequest
	updates    []update
}

// encode returns the message as a datagram. Of more than maxUpdates updates the last ones are dropped.
func (m message) encode() []byte {
	updates := m.updates[:min(len(m.updates), maxUpdates)]
	data := protocol.Begin(m.kind)
	data = binary.BigEndian.AppendUint32(data, m.peerListID)
	data = binary.BigEndian.AppendUint32(data, m.sequence)
	data = binary.BigEndian.AppendUint16(data, m.target)
	data = append(data, byte(len(updates)))
	for _, u := range updates {
		data = u.appendTo(data)
	}
	return datagram.Seal(data)
}

func (u update) appendTo(data []byte) []byte {
	offset := min(max(u.incarnation, minIncarnation)-minIncarnation, maxIncarnationOffset)
	data = binary.BigEndian.AppendUint16(data, u.node)
	data = append(data, byte(offset>>32))
	data = binary.BigEndian.AppendUint32(data, uint32(offset))
	return append(data, u.refutations, byte(u.state))
}

// decode reads a datagram. Its error is agreement.ErrCorruptMessage.
func decode(data []byte) (message, error) {
	kind, fields, err := protocol.Open(data)
	if err != nil {
		return message{}, err
	}
	if kind < kindPing || kind > kindPingRequest {
		return message{}, agreement.ErrCorruptMessage
	}
	m := message{kind: kind, peerListID: fields.U32(), sequence: fields.U32(), target: fields.U16()}
	for range fields.U8() {
		u := decodeUpdate(fields)
		if !fields.IsValid() || u.state == Unknown || u.state >= numStates {
			return message{}, agreement.ErrCorruptMessage
		}
		m.updates = append(m.updates, u)
	}
	if !fields.IsValid() {
		return message{}, agreement.ErrCorruptMessage
	}
	return m, nil
}

func decodeUpdate(fields *datagram.Reader) update {
	return update{
		node:        fields.U16(),
		incarnation: minIncarnation + uint64(fields.U8())<<32 + uint64(fields.U32()),
		refutations: fields.U8(),
		state:       State(fields.U8()),
	}
}
