// Package key makes and recognizes client account keys. Only hashes of keys are
// stored or sent between nodes; the key itself ends at the entry node.
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

// prefix marks a key, so that leaks can be searched for.
const prefix = "bbv-"

// redacted stands in messages where a key stood.
const redacted = "[key]"

// A Hash is the SHA-256 of a key. A plain hash suffices because keys are random.
type Hash [sha256.Size]byte

// Generate returns a fresh random key in its printable form.
func Generate() (string, error) {
	var secret [secretBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return "", fmt.Errorf("read random bytes for a key: %w", err)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(secret[:]), nil
}

// HashOf returns the hash under which a key is stored.
func HashOf(secret string) Hash { return sha256.Sum256([]byte(secret)) }

// ParseHash reads a hash from its hexadecimal form.
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

// A Key is the stored form of one key: whose it is, without its secret.
type Key struct {
	// ID names the key in logs and commands.
	ID string
	// Account is the client account that the key belongs to.
	Account string
	// Hash is the hash of the secret.
	Hash Hash
}

// Redact returns the text with every word in it that looks like a key replaced,
// so that a key pasted in the wrong place reaches no message or log.
func Redact(text string) string {
	var b strings.Builder
	for {
		before, after, found := strings.Cut(text, prefix)
		b.WriteString(before)
		if !found {
			return b.String()
		}
		b.WriteString(redacted)
		end := strings.IndexFunc(after, func(r rune) bool { return !isSecretRune(r) })
		if end < 0 {
			return b.String()
		}
		text = after[end:]
	}
}

// isSecretRune reports whether a rune occurs in the printable form of a key.
func isSecretRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_':
		return true
	default:
		return false
	}
}
