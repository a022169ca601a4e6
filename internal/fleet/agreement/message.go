package agreement

import (
	"errors"

	"shelfproxy/internal/fleet/datagram"
)

// ErrCorruptMessage is returned for a datagram that is not an intact message of the expected protocol and version: it was
// damaged or cut short on the way, or it belongs to another protocol or version.
var ErrCorruptMessage = errors.New("agreement: corrupt message, or one of another protocol or version")

// Protocol identifies the datagrams of one protocol in one version, such as those of leases. Each datagram starts with both bytes.
type Protocol struct {
	Magic   byte // first byte of each datagram
	Version byte
}

// Begin starts a message of one kind. The caller appends the fields of the message and passes the result to datagram.Seal.
func (p Protocol) Begin(kind byte) []byte { return datagram.Begin(p.Magic, p.Version, kind) }

// Open verifies the checksum, the magic byte and the version of a datagram and returns its kind and a reader of its fields.
// The error is ErrCorruptMessage.
func (p Protocol) Open(data []byte) (kind byte, fields *datagram.Reader, err error) {
	kind, fields, ok := datagram.Open(data, p.Magic, p.Version)
	if !ok {
		return 0, nil, ErrCorruptMessage
	}
	return kind, fields, nil
}
