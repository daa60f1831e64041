package seal_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/seal"
)

func parseKeys(t *testing.T, lines ...[]byte) seal.Keys {
	t.Helper()
	var content []byte
	for _, l := range lines {
		content = append(content, l...)
	}
	k, err := seal.ParseKeys(content)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestOpenAuthenticatesDatagrams(t *testing.T) {
	is := is.New(t)
	old, err := seal.GenerateKey()
	is.NoErr(err)
	next, err := seal.GenerateKey()
	is.NoErr(err)
	datagram := parseKeys(t, old).Seal([]byte("hello"))
	message, err := parseKeys(t, next, old).Open(datagram) // during key rotation
	is.NoErr(err)
	is.Equal(string(message), "hello")
	_, err = parseKeys(t, next).Open(datagram)
	is.True(errors.Is(err, seal.ErrNotAuthentic))
	for i := range datagram {
		tampered := append([]byte(nil), datagram...)
		tampered[i] ^= 1
		_, err = parseKeys(t, old).Open(tampered)
		is.True(errors.Is(err, seal.ErrNotAuthentic)) // a flipped bit in any byte
		_, err = parseKeys(t, old).Open(datagram[:i])
		is.True(errors.Is(err, seal.ErrNotAuthentic)) // any truncation
	}
	for _, invalid := range []string{"", "abcd", "zz"} {
		_, err = seal.ParseKeys([]byte(invalid))
		is.True(errors.Is(err, seal.ErrInvalidKey))
	}
}
