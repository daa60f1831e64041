package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
)

// ProtocolVersion is the version of the messages between nodes. A node rejects messages
// of another version.
const ProtocolVersion = 1

// MaxMessageBytes is the maximum size of an encoded message or reply.
const MaxMessageBytes = 8 << 20

// A Kind is the type of a message and selects its Handler.
type Kind uint16

// KindPing is a liveness probe. The endpoint itself replies to it.
const KindPing Kind = 2

// KindCall is a call for the receiving node's backend server.
const KindCall Kind = 1

// A Status is the result of a message at the receiving node.
type Status uint8

// The statuses of a reply. All but StatusOK and StatusError guarantee that no handler
// was run.
const (
	StatusOK Status = iota
	StatusError
	StatusNoHandler
	StatusBusy
	StatusIncompatible
	StatusMalformed
	StatusDraining
)

// An Envelope is the message or reply that a stream carries, one in each direction.
type Envelope struct {
	Version int    `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Status  Status `cbor:"3,keyasint,omitempty"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
}

// lengthPrefixBytes is the size of the length prefix of each envelope. The prefix lets
// the receiver handle a message as soon as its last byte arrives, without waiting for
// the end of the stream, which may arrive in a separate packet.
const lengthPrefixBytes = 4

// readEnvelope reads one envelope of at most MaxMessageBytes.
func readEnvelope(r io.Reader) (Envelope, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Envelope{}, fmt.Errorf("read message length: %w", err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxMessageBytes {
		return Envelope{}, fmt.Errorf("message of %d bytes exceeds the limit of %d", length, MaxMessageBytes)
	}
	raw, err := codec.ReadFull(r, int(length))
	if err != nil {
		return Envelope{}, fmt.Errorf("read message: %w", err)
	}
	return Decode(raw)
}

// Decode decodes an envelope, without its length prefix, from another node.
func Decode(raw []byte) (Envelope, error) {
	var message Envelope
	if err := codec.Decoder.Unmarshal(raw, &message); err != nil {
		return Envelope{}, fmt.Errorf("decode message: %w", err)
	}
	return message, nil
}

func writeEnvelope(w io.Writer, message Envelope) error {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, lengthPrefixBytes))
	if err := cbor.NewEncoder(&buffer).Encode(message); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	raw := buffer.Bytes()
	if len(raw)-lengthPrefixBytes > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", len(raw)-lengthPrefixBytes, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(raw, uint32(len(raw)-lengthPrefixBytes))
	if _, err := w.Write(raw); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}
