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

// Kinds of messages between followers.
const (
	// KindUpdateRequest is the kind of an UpdateRequest.
	KindUpdateRequest uint16 = 40
	// KindNotice is the kind of a Notice.
	KindNotice uint16 = 41
)

// An UpdateRequest asks a peer for its version if that is newer than the sender's.
type UpdateRequest struct {
	// Have is the version that the sender holds, 0 for none.
	Have uint64 `cbor:"1,keyasint"`
}

// An UpdateResponse is the reply to an UpdateRequest.
type UpdateResponse struct {
	// Head is the head of the version that the responder holds.
	Head Head `cbor:"1,keyasint"`
	// Confirmed reports whether Age is set.
	Confirmed bool `cbor:"2,keyasint,omitempty"`
	// Age is the time since the responder's version was last confirmed as the latest.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Base is the version whose content is the compression dictionary of Packed; 0
	// means none.
	Base uint64 `cbor:"4,keyasint,omitempty"`
	// Packed is the compressed content; empty if the requester's version is not older.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// A Notice announces a version, so that its receiver requests it.
type Notice struct {
	Version uint64 `cbor:"1,keyasint"`
}

// dictionaryID is the zstd dictionary ID of the base content.
const dictionaryID = 1

// minDictionaryBytes is the size of the smallest content used as a base.
const minDictionaryBytes = 64

// pack compresses a content with base as the dictionary. Content that also occurs in
// the base takes almost no space, so a change of one key adds little more than the
// key.
func pack(content, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithLowerEncoderMem(true),
	}
	if len(base) >= minDictionaryBytes {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	return encoder.EncodeAll(content, nil), nil
}

// unpack decompresses the output of pack, given the same base, up to document.MaxSize.
func unpack(packed, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(document.MaxSize),
	}
	if len(base) >= minDictionaryBytes {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder: %w", err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress content: %w", err)
	}
	return content, nil
}

// Unpack decompresses and verifies the content of a response. Base is the content of
// version r.Base. The error says that the content is corrupt or that the base is not
// the right one.
func (r UpdateResponse) Unpack(base []byte) ([]byte, error) {
	content, err := unpack(r.Packed, base)
	if err != nil {
		return nil, err
	}
	if sha256.Sum256(content) != r.Head.Digest {
		return nil, fmt.Errorf("unpack version %d: %w", r.Head.Version, errDigest)
	}
	return content, nil
}

// decode decodes one message and rejects trailing bytes.
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
