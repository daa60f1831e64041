package peer

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
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
)

// An Envelope is the only item that a stream carries in each direction.
type Envelope struct {
	Version int    `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Status  Status `cbor:"3,keyasint,omitempty"`
	Body    []byte `cbor:"4,keyasint,omitempty"`
}

// Decoder decodes messages of other nodes with bounded nesting and sizes.
var Decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 16,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// readEnvelope reads one bounded envelope up to the end of the stream.
func readEnvelope(r io.Reader) (Envelope, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return Envelope{}, fmt.Errorf("read message: %w", err)
	}
	if len(raw) > MaxMessageBytes {
		return Envelope{}, fmt.Errorf("message is longer than %d bytes", MaxMessageBytes)
	}
	return Decode(raw)
}

// Decode decodes a raw envelope that came from another node.
func Decode(raw []byte) (Envelope, error) {
	var message Envelope
	if err := Decoder.Unmarshal(raw, &message); err != nil {
		return Envelope{}, fmt.Errorf("decode message: %w", err)
	}
	return message, nil
}

func writeEnvelope(w io.Writer, message Envelope) error {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}
