// Package seal authenticates datagrams between nodes with an HMAC under a key that all
// nodes of a deployment share. It does not encrypt: datagrams contain host names,
// addresses and versions, but never a client account's key. Calls use package peer,
// which authenticates each node by its certificate.
package seal

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/rotisserie/eris"
)

// Sizes in bytes.
const (
	// minKeyBytes is the minimum size of a key.
	minKeyBytes = 32
	// tagBytes is the size of the authentication tag.
	tagBytes = 16
	// Overhead is the difference between the sizes of a datagram and its message.
	Overhead = 1 + tagBytes
)

// formatVersion is the first byte of a sealed datagram. Its two leading bits are zero,
// which distinguishes the datagram from a QUIC packet.
const formatVersion = 0x01

// Errors of this package.
var (
	// ErrInvalidKey reports a file without keys or with an invalid key.
	ErrInvalidKey = eris.New("group key is not a line of at least 64 hexadecimal digits")
	// ErrNotAuthentic reports a datagram that none of the keys authenticates.
	ErrNotAuthentic = eris.New("datagram is not authentic")
)

// Keys are the shared keys of a deployment. The first key seals, and any key opens. A key
// is replaced in three rollouts: the new key is added as the second, then moved to the
// front, then the old key is removed.
type Keys struct{ keys [][]byte }

// GenerateKey returns a new random key as a line of hexadecimal digits.
func GenerateKey() ([]byte, error) {
	key := make([]byte, minKeyBytes)
	if _, err := rand.Read(key); err != nil {
		return nil, fmt.Errorf("generate group key: %w", err)
	}
	return []byte(hex.EncodeToString(key) + "\n"), nil
}

// ParseKeys parses keys in hexadecimal digits, one per line. Empty lines are ignored.
func ParseKeys(content []byte) (Keys, error) {
	var k Keys
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		key, err := hex.DecodeString(string(text))
		if err != nil || len(key) < minKeyBytes {
			return Keys{}, fmt.Errorf("parse group key %d: %w", len(k.keys)+1, ErrInvalidKey)
		}
		k.keys = append(k.keys, key)
	}
	if len(k.keys) == 0 {
		return Keys{}, fmt.Errorf("parse group keys: %w", ErrInvalidKey)
	}
	return k, nil
}

// Seal returns a datagram with the message and its authentication tag.
func (k Keys) Seal(message []byte) []byte {
	datagram := make([]byte, 0, Overhead+len(message))
	datagram = append(datagram, formatVersion)
	datagram = append(datagram, computeTag(k.keys[0], message)...)
	return append(datagram, message...)
}

// Open authenticates a datagram and returns its message, which shares the memory of the
// datagram. The error wraps ErrNotAuthentic.
func (k Keys) Open(datagram []byte) ([]byte, error) {
	if len(datagram) < Overhead || datagram[0] != formatVersion {
		return nil, fmt.Errorf("open %d bytes: %w", len(datagram), ErrNotAuthentic)
	}
	message := datagram[Overhead:]
	for _, key := range k.keys {
		if hmac.Equal(datagram[1:Overhead], computeTag(key, message)) {
			return message, nil
		}
	}
	return nil, fmt.Errorf("open %d bytes: %w", len(datagram), ErrNotAuthentic)
}

// computeTag returns the authentication tag of a message, a truncated HMAC-SHA256.
func computeTag(key, message []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte{formatVersion})
	_, _ = h.Write(message)
	return h.Sum(nil)[:tagBytes]
}
