// Package key generates client account keys and redacts them from text. Only hashes
// of keys are stored or sent between nodes; the key itself never leaves the entry
// node.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
)

// secretBytes is the number of random bytes in a key: 256 bits.
const secretBytes = 32

// prefix marks a key, so that leaked keys can be searched for.
const prefix = "bbv-"

// placeholder replaces a key in messages.
const placeholder = "[key]"

// A Hash is the SHA-256 of a key. Salting and key stretching are unnecessary
// because keys are random.
type Hash [sha256.Size]byte

// Generate returns a new random key in its printable form.
func Generate() (string, error) {
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", fmt.Errorf("read random bytes for a key: %w", err)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(secret[:]), nil
}

// HashOf returns the hash under which a key is stored.
func HashOf(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// ParseHash parses the hexadecimal form of a hash.
func ParseHash(text string) (Hash, error) {
	var hash Hash
	raw, err := hex.DecodeString(text)
	if err != nil {
		return Hash{}, fmt.Errorf("decode key hash: %w", err)
	}
	if len(raw) != len(hash) {
		return Hash{}, fmt.Errorf("key hash has %d bytes, want %d", len(raw), len(hash))
	}
	copy(hash[:], raw)
	return hash, nil
}

// String returns the hexadecimal form of the hash.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// A Key is the stored form of a client account key, without its secret.
type Key struct {
	// ID identifies the key in logs and commands.
	ID string
	// Account is the client account that the key belongs to.
	Account string
	// Hash is the hash of the secret.
	Hash Hash
}

// Redact replaces everything in a text that looks like a key, so that a key pasted
// in the wrong place does not reach messages or logs.
func Redact(text string) string {
	var b strings.Builder
	for {
		before, after, found := strings.Cut(text, prefix)
		b.WriteString(before)
		if !found {
			return b.String()
		}
		b.WriteString(placeholder)
		end := strings.IndexFunc(after, func(r rune) bool { return !isKeyRune(r) })
		if end < 0 {
			return b.String()
		}
		text = after[end:]
	}
}

// isKeyRune reports whether a rune can occur in the printable form of a key.
func isKeyRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_':
		return true
	default:
		return false
	}
}
