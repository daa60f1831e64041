package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
)

// ProtocolVersion is the version of the messages between nodes. A node refuses
// messages of another version.
const ProtocolVersion = 1

// MaxMessageBytes bounds one message in either direction.
const MaxMessageBytes = 8 << 20

// A Kind says what a message asks for and so which Handler gets it.
type Kind uint16

// KindPing asks whether the other node still works. The endpoint itself answers.
const KindPing Kind = 2

// KindCall asks the receiving node to execute a call on its backend server.
const KindCall Kind = 1

// A Status tells how a receiving node dealt with a message.
type Status uint8

// The statuses of a reply. All but StatusDone and StatusError say that no
// handler was given the message.
const (
	StatusDone Status = iota
	StatusError
	StatusNoHandler
	StatusBusy
	StatusIncompatible
	StatusMalformed
	StatusLeaving
)

// An Envelope is the only item that a stream carries in each direction.
type Envelope struct {
	Version int    `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Status  Status `cbor:"3,keyasint,omitempty"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
}

// lengthBytes is the size of the length that stands before each envelope. With
// it a message is handled as soon as its last byte is there, without waiting for
// the end of the stream, which may come in a packet of its own.
const lengthBytes = 4

// readEnvelope reads one bounded envelope.
func readEnvelope(r io.Reader) (Envelope, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return Envelope{}, fmt.Errorf("read length of message: %w", err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxMessageBytes {
		return Envelope{}, fmt.Errorf("message of %d bytes is longer than %d", length, MaxMessageBytes)
	}
	raw, err := codec.ReadFull(r, int(length))
	if err != nil {
		return Envelope{}, fmt.Errorf("read message: %w", err)
	}
	return Decode(raw)
}

// Decode decodes a raw envelope that came from another node.
func Decode(raw []byte) (Envelope, error) {
	var message Envelope
	if err := codec.Decoder.Unmarshal(raw, &message); err != nil {
		return Envelope{}, fmt.Errorf("decode message: %w", err)
	}
	return message, nil
}

func writeEnvelope(w io.Writer, message Envelope) error {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, lengthBytes))
	if err := cbor.NewEncoder(&buffer).Encode(message); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	raw := buffer.Bytes()
	if len(raw)-lengthBytes > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes is longer than %d", len(raw)-lengthBytes, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(raw, uint32(len(raw)-lengthBytes))
	if _, err := w.Write(raw); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}
