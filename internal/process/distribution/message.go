package distribution

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// The kinds of messages between the followers of two nodes.
const (
	// KindAsk asks a peer for what is newer than the version held.
	KindAsk uint16 = 40
	// KindNotice tells a peer that there is a newer version.
	KindNotice uint16 = 41
)

// An Ask asks for the newest configuration that the receiver holds.
type Ask struct {
	// Have is the version that the sender holds.
	Have uint64 `cbor:"1,keyasint"`
}

// An Offer answers an Ask.
type Offer struct {
	// Head is that of the version held by the sender of the offer.
	Head Head `cbor:"1,keyasint"`
	// Confirmed says that Age has a meaning.
	Confirmed bool `cbor:"2,keyasint,omitempty"`
	// Age is how long ago it was known that no newer version was published.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Base is the version against which Packed was made; 0 is none.
	Base uint64 `cbor:"4,keyasint,omitempty"`
	// Packed is the content, compressed; empty where the asker needs none.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// A Notice tells of a version, so that its receiver asks for it.
type Notice struct {
	Version uint64 `cbor:"1,keyasint"`
}

// dictionaryID names the base content in a packed content.
const dictionaryID = 1

// minDictionary is the smallest content used as a base, in bytes.
const minDictionary = 64

// pack compresses a content. What also stands in the base takes next to no room,
// so that a change of one key costs little more than the key.
func pack(content, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithLowerEncoderMem(true),
	}
	if len(base) >= minDictionary {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	return encoder.EncodeAll(content, nil), nil
}

// unpack reverses pack with the same base, up to the size of a document.
func unpack(packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(document.MaxSize),
	}
	if len(base) >= minDictionary {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("unpack content: %w", err)
	}
	return content, nil
}

// Open returns the content of an offer. Base is the content of the version that
// the offer was made against.
func (o Offer) Open(base []byte) ([]byte, error) {
	content, err := unpack(o.Packed, base)
	if err != nil {
		return nil, err
	}
	if sha256.Sum256(content) != o.Head.Digest {
		return nil, fmt.Errorf("open version %d: %w", o.Head.Version, errDigest)
	}
	return content, nil
}

// decode reads one message and refuses trailing bytes.
func decode(body []byte, message any) error {
	decoder := cbor.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	if decoder.NumBytesRead() != len(body) {
		return fmt.Errorf("decode message: %d bytes too many", len(body)-decoder.NumBytesRead())
	}
	return nil
}
