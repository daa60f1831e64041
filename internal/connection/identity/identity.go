// Package identity issues and verifies the certificates of nodes. A deployment has one
// certificate authority; each node's certificate names its availability zone and host.
// Package peer uses them for mutual authentication.
package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// uriScheme is the URI scheme of a node's subject alternative name.
const uriScheme = "bilberryvane"

// clockSkew is the time by which the start of a certificate's validity is backdated, for
// hosts whose clocks run behind.
const clockSkew = time.Hour

// serialBits is the size of a random certificate serial number in bits.
const serialBits = 128

// ErrNoIdentity reports that a certificate is missing or names no node.
var ErrNoIdentity = eris.New("certificate names no node")

// A Node is the identity of a node, as named in its certificate.
type Node struct {
	// Host is the host's name, unique in the deployment.
	Host string
	// Zone is the host's availability zone.
	Zone string
}

// FromCertificate returns the node that a verified certificate names. The error is
// ErrNoIdentity.
func FromCertificate(c *x509.Certificate) (Node, error) {
	for _, u := range c.URIs {
		host := strings.TrimPrefix(u.Path, "/")
		if u.Scheme == uriScheme && u.Host != "" && host != "" {
			return Node{Host: host, Zone: u.Host}, nil
		}
	}
	return Node{}, ErrNoIdentity
}

// A KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Certificate []byte
	PrivateKey  []byte
}

// An Authority is the certificate authority of a deployment.
type Authority struct {
	certificate *x509.Certificate
	privateKey  *ecdsa.PrivateKey
	pem         KeyPair
}

// NewAuthority creates an authority with a new key and a self-signed certificate, which
// is valid for lifetime after now.
func NewAuthority(now time.Time, lifetime time.Duration) (*Authority, error) {
	template, err := newTemplate("bilberryvane authority", now, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	pair, err := sign(template, template, privateKey, privateKey)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	return LoadAuthority(pair)
}

// LoadAuthority parses the certificate and private key of an authority.
func LoadAuthority(pair KeyPair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Certificate, pair.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("parse authority key pair: %w", err)
	}
	privateKey, ok := loaded.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("authority key is a %T, want an ECDSA key", loaded.PrivateKey)
	}
	return &Authority{certificate: loaded.Leaf, privateKey: privateKey, pem: pair}, nil
}

// PEM returns the authority's certificate and private key.
func (a *Authority) PEM() KeyPair { return a.pem }

// Issue creates a private key and certificate for a node, valid for lifetime after now.
func (a *Authority) Issue(n Node, addresses []net.IP, now time.Time, lifetime time.Duration) (KeyPair, error) {
	template, err := newTemplate(n.Host, now, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: n.Zone, Path: "/" + n.Host}}
	template.IPAddresses = addresses
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key of host %q: %w", n.Host, err)
	}
	pair, err := sign(template, a.certificate, privateKey, a.privateKey)
	if err != nil {
		return KeyPair{}, fmt.Errorf("sign certificate of host %q: %w", n.Host, err)
	}
	return pair, nil
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signerKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signerKey)
	if err != nil {
		return KeyPair{}, fmt.Errorf("create certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode private key: %w", err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		PrivateKey:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// TLSConfig returns the TLS configuration of a node, which authenticates itself and
// accepts only peers with a certificate of the same authority. Peers are dialled by IP
// address, so the chain and the node's name are verified instead of a host name.
func TLSConfig(authorityCertificate []byte, node KeyPair, protocol string) (*tls.Config, error) {
	certificate, err := tls.X509KeyPair(node.Certificate, node.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("parse node key pair: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorityCertificate) {
		return nil, eris.New("authority certificate is not PEM-encoded")
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{certificate},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          roots,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, // VerifyConnection checks the chain and the node instead.
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyPeer(s, roots) },
	}, nil
}

func verifyPeer(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoIdentity
	}
	options := x509.VerifyOptions{
		Roots:     roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	if _, err := FromCertificate(state.PeerCertificates[0]); err != nil {
		return fmt.Errorf("read peer identity: %w", err)
	}
	return nil
}
