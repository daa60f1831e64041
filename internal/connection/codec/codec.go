// Package codec encodes and decodes the messages between nodes for packages peer and
// trunk: CBOR with size limits, and reading a body of a length that the sender states.
package codec

import (
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Decoder decodes messages from other nodes with limits on nesting and sizes.
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

// Encoder encodes messages, with floating-point numbers in their shortest exact form.
var Encoder = newEncoder()

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// initialReadBytes is the maximum size of the buffer that is allocated before any data
// has arrived.
const initialReadBytes = 64 << 10

// ReadFull reads exactly length bytes. Above initialReadBytes, the buffer grows with the
// received data, so that a false length costs the receiver no more memory than the
// sender transmits.
func ReadFull(r io.Reader, length int) ([]byte, error) {
	if length <= initialReadBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
