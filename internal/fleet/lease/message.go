package lease

import (
	"encoding/binary"

	"shelfproxy/internal/fleet/agreement"
	"shelfproxy/internal/fleet/datagram"
)

// Magic is the first byte of each datagram of this package.
const Magic = 'L'

const (
	version = 1

	kindRequest      = 1
	kindAnswer       = 2
	kindRelease      = 3
	kindAnnouncement = 4

	flagHolder = 1 // flag of a request: the sender already holds the lease
)

var protocol = agreement.Protocol{Magic: Magic, Version: version}

// message is a leaseRequest, a leaseAnswer, a leaseRelease or an announcement. No message is longer than 48 bytes.
type message interface {
	encode() []byte
	common() header
}

// header holds the first fields of every message.
type header struct {
	PeerListID uint32
	ResourceID uint32
	Token      uint64
}

// leaseRequest requests a lease, or renews it.
type leaseRequest struct {
	header
	Round    uint32
	IsHolder bool // the sender already holds the lease
}

// leaseAnswer grants or denies the leaseRequest that has the same token and round.
type leaseAnswer struct {
	header
	Round        uint32
	Reason       Reason // ReasonGranted, or why the request is denied
	HighestToken uint64 // greatest token that the answering node knows of
	TakenForMS   uint32 // if Reason is ReasonTaken: milliseconds until the grant to another node expires
}

// leaseRelease gives a lease back, or abandons a request for it.
type leaseRelease struct{ header }

// announcement is a message from the holder of a lease to all other nodes.
type announcement struct{ header }

func (h header) common() header { return h }

func (c *Core) header(r *resource, token uint64) header {
	return header{PeerListID: c.cfg.PeerListID, ResourceID: r.id, Token: token}
}

// begin starts a message of the given kind with the header.
func (h header) begin(kind byte) []byte {
	data := protocol.Begin(kind)
	data = binary.BigEndian.AppendUint32(data, h.PeerListID)
	data = binary.BigEndian.AppendUint32(data, h.ResourceID)
	return binary.BigEndian.AppendUint64(data, h.Token)
}

func (m leaseRequest) encode() []byte {
	data := m.begin(kindRequest)
	data = binary.BigEndian.AppendUint32(data, m.Round)
	flags := byte(0)
	if m.IsHolder {
		flags |= flagHolder
	}
	return datagram.Seal(append(data, flags))
}

func (m leaseAnswer) encode() []byte {
	data := m.begin(kindAnswer)
	data = binary.BigEndian.AppendUint32(data, m.Round)
	data = append(data, byte(m.Reason))
	data = binary.BigEndian.AppendUint64(data, m.HighestToken)
	return datagram.Seal(binary.BigEndian.AppendUint32(data, m.TakenForMS))
}

func (m leaseRelease) encode() []byte { return datagram.Seal(m.begin(kindRelease)) }

func (m announcement) encode() []byte { return datagram.Seal(m.begin(kindAnnouncement)) }

// decode decodes a datagram. It skips bytes that a later release adds after the known fields. The error is
// agreement.ErrCorruptMessage.
func decode(data []byte) (message, error) {
	kind, fields, err := protocol.Open(data)
	if err != nil {
		return nil, err
	}
	received, err := decodeFields(kind, fields)
	if err != nil {
		return nil, err
	}
	if !fields.IsValid() {
		return nil, agreement.ErrCorruptMessage
	}
	return received, nil
}

func decodeFields(kind byte, fields *datagram.Reader) (message, error) {
	common := header{PeerListID: fields.U32(), ResourceID: fields.U32(), Token: fields.U64()}
	switch kind {
	case kindRequest:
		return leaseRequest{header: common, Round: fields.U32(), IsHolder: fields.U8()&flagHolder != 0}, nil
	case kindAnswer:
		answer := leaseAnswer{header: common, Round: fields.U32(), Reason: Reason(fields.U8()), HighestToken: fields.U64(), TakenForMS: fields.U32()}
		if answer.Reason >= numReasons {
			return nil, agreement.ErrCorruptMessage
		}
		return answer, nil
	case kindRelease:
		return leaseRelease{common}, nil
	case kindAnnouncement:
		return announcement{common}, nil
	}
	return nil, agreement.ErrCorruptMessage
}
