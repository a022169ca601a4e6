package membership

import (
	"encoding/binary"

	"shelfproxy/internal/fleet/agreement"
	"shelfproxy/internal/fleet/datagram"
)

// Magic is the first byte of every membership datagram.
const Magic = 'M'

var protocol = agreement.Protocol{Magic: Magic, Version: 1}

// The kinds of messages, as written in the header of a datagram.
const (
	kindPing        = 1
	kindAck         = 2
	kindPingRequest = 3
)

// The fields of a datagram are the identifier of the list of nodes (4 bytes), a sequence number that the ack repeats (4), the
// node that a ping-req asks to ping (2), the number of updates (1), and the updates. An update holds a node's index (2), its
// incarnation (5), number of refutations (1) and state (1). Fields that a later version adds at the end are skipped.
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
	target     uint16 // index of the node to ping; only used by kindPingRequest
	updates    []update
}

// encode returns the message as a datagram. Updates beyond the first maxUpdates are dropped.
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

// decode parses a datagram. It returns agreement.ErrCorruptMessage if the datagram is invalid.
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
