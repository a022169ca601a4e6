package gossip

import "errors"

// A datagram consists of the version (1 byte), the number of keys (1 byte), the keys (3 bytes each) and the observations (4 bytes
// each). An observation is the server's fingerprint (3 bytes) and a byte with the number of attempts (3 bits), the number of
// failures (3 bits) and two flags (recovered, unresponsive).
const (
	version          = 2
	headerBytes      = 2
	fingerprintBytes = 3
	observationBytes = 4

	maxAttempts     = 7  // greatest number of attempts in one observation; it is sent in three bits
	maxKeys         = 16 // greatest number of keys in one datagram
	maxObservations = 50 // greatest number of observations in one datagram; with 16 keys it has 250 bytes, and the platform carries 256
	maxBytes        = headerBytes + maxKeys*fingerprintBytes + maxObservations*observationBytes

	attemptsShift    = 5
	failuresShift    = 2
	flagRecovered    = 1
	flagUnresponsive = 2
)

// ErrMalformed is returned for a datagram that no node with this version of the format can have sent.
var ErrMalformed = errors.New("gossip: malformed datagram")

// encode returns the message as a datagram. The message must not have more than maxKeys keys or more than maxObservations
// observations.
func (m Message) encode() []byte {
	data := make([]byte, 0, headerBytes+len(m.Keys)*fingerprintBytes+len(m.Observations)*observationBytes)
	data = append(data, version, byte(len(m.Keys)))
	for _, key := range m.Keys {
		data = key.appendTo(data)
	}
	for _, observation := range m.Observations {
		data = observation.Server.appendTo(data)
		data = append(data, observation.summary())
	}
	return data
}

func (f Fingerprint) appendTo(data []byte) []byte {
	return append(data, byte(f>>16), byte(f>>8), byte(f))
}

// summary returns the last byte of an encoded observation: the numbers of attempts and failures, and the flags.
func (o Observation) summary() byte {
	summary := byte(o.Attempts<<attemptsShift | o.Failures<<failuresShift)
	if o.Recovered {
		summary |= flagRecovered
	}
	if o.Unresponsive {
		summary |= flagUnresponsive
	}
	return summary
}

// Decode parses a datagram. For a malformed datagram it returns an empty Message and ErrMalformed.
func Decode(data []byte) (Message, error) {
	if len(data) <= headerBytes || len(data) > maxBytes || data[0] != version || data[1] > maxKeys {
		return Message{}, ErrMalformed
	}
	keysLength := int(data[1]) * fingerprintBytes
	content := data[headerBytes:]
	if keysLength > len(content) {
		return Message{}, ErrMalformed
	}
	keys, observations := content[:keysLength], content[keysLength:]
	if len(observations)%observationBytes != 0 || len(observations) > maxObservations*observationBytes {
		return Message{}, ErrMalformed
	}
	var message Message
	for ; len(keys) > 0; keys = keys[fingerprintBytes:] {
		message.Keys = append(message.Keys, decodeFingerprint(keys))
	}
	for ; len(observations) > 0; observations = observations[observationBytes:] {
		observation, err := decodeObservation(observations)
		if err != nil {
			return Message{}, err
		}
		message.Observations = append(message.Observations, observation)
	}
	return message, nil
}

// decodeFingerprint decodes the fingerprint in the first three bytes of data.
func decodeFingerprint(data []byte) Fingerprint {
	return Fingerprint(data[0])<<16 | Fingerprint(data[1])<<8 | Fingerprint(data[2])
}

// decodeObservation decodes the observation in the first four bytes of data.
func decodeObservation(data []byte) (Observation, error) {
	summary := data[fingerprintBytes]
	observation := Observation{
		Server:       decodeFingerprint(data),
		Attempts:     int(summary >> attemptsShift),
		Failures:     int(summary >> failuresShift & maxAttempts),
		Recovered:    summary&flagRecovered != 0,
		Unresponsive: summary&flagUnresponsive != 0,
	}
	if observation.Failures > observation.Attempts || observation.Recovered && observation.Unresponsive {
		return Observation{}, ErrMalformed
	}
	return observation, nil
}
