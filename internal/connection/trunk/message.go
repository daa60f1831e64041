package trunk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
)

// MaxMessageBytes is the maximum size of a message body.
const MaxMessageBytes = 72 << 20

// A messageKind is the type of a message.
type messageKind uint8

const (
	// kindCall requests a reply with the same call ID.
	kindCall messageKind = iota + 1
	// kindReply is the reply to a call.
	kindReply
	// kindCancel cancels a call whose caller no longer waits for the reply.
	kindCancel
	// kindNotice is a one-way message without a reply.
	kindNotice
	// kindProbe asks for a kindProbeReply, which shows that the peer responds.
	kindProbe
	kindProbeReply
	// kindPart and kindLastPart hold a part of a large message: its head and body as
	// encoded. The call ID is a number that the parts of the message have in common.
	kindPart
	kindLastPart
)

// A message is one frame on the wire: a kind, a call ID and a body of one CBOR item.
type message struct {
	kind   messageKind
	callID uint64
	body   []byte
}

// headerBytes is the size of the header before each body: length, kind and call ID.
const headerBytes = 4 + 1 + 8

// maxPartialMessages is the number of large messages that may be received at once.
const maxPartialMessages = 4096

var (
	errMessageTooLarge = errors.New("message is longer than the bound")
	errNestedParts     = errors.New("the parts contain a part")
)

// encodeMessage appends an encoded message to buffer.
func encodeMessage(buffer []byte, k messageKind, callID uint64, body any) ([]byte, error) {
	encoded, err := codec.Encoder.Marshal(body)
	if err != nil {
		return buffer, fmt.Errorf("encode message: %w", err)
	}
	if len(encoded) > MaxMessageBytes {
		return buffer, fmt.Errorf("%d bytes: %w", len(encoded), errMessageTooLarge)
	}
	return appendMessage(buffer, message{kind: k, callID: callID, body: encoded}), nil
}

func appendMessage(buffer []byte, m message) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(m.body)))
	buffer = append(buffer, byte(m.kind))
	buffer = binary.BigEndian.AppendUint64(buffer, m.callID)
	return append(buffer, m.body...)
}

// readMessage reads one message. The body buffer grows with the received data, so that a
// false length costs the receiver no more memory than the sender transmits.
func readMessage(r io.Reader) (message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return message{}, fmt.Errorf("read head of message: %w", err)
	}
	length := int(binary.BigEndian.Uint32(header[:4]))
	if length > MaxMessageBytes {
		return message{}, fmt.Errorf("%d bytes: %w", length, errMessageTooLarge)
	}
	m := message{kind: messageKind(header[4]), callID: binary.BigEndian.Uint64(header[5:])}
	var err error
	if m.body, err = codec.ReadFull(r, length); err != nil {
		return message{}, fmt.Errorf("read message: %w", err)
	}
	return m, nil
}

// Decode decodes the body of a message into v.
func Decode(body []byte, v any) error {
	if err := codec.Decoder.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
