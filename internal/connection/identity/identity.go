// Package identity makes and reads the certificates by which nodes know each
// other. A deployment has one authority; each node's certificate names its
// availability zone and host. Package peer uses them for mutual authentication.
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

// scheme is the URI scheme of a node's subject alternative name.
const scheme = "bilberryvane"

// clockSkew is how far a certificate's start lies before its issue, for hosts
// whose clocks run behind.
const clockSkew = time.Hour

// serialBits is the size of a random certificate serial number.
const serialBits = 128

// ErrNoIdentity reports a certificate that names no node.
var ErrNoIdentity = eris.New("certificate names no node")

// A Node is the identity that a certificate proves.
type Node struct {
	// Host is the host's name, unique in the deployment.
	Host string
	// Zone is the host's availability zone.
	Zone string
}

// FromCertificate reads the node that a verified certificate names.
func FromCertificate(c *x509.Certificate) (Node, error) {
	for _, u := range c.URIs {
		host := strings.TrimPrefix(u.Path, "/")
		if u.Scheme == scheme && u.Host != "" && host != "" {
			return Node{Host: host, Zone: u.Host}, nil
		}
	}
	return Node{}, ErrNoIdentity
}

// A Pair is a certificate with its private key, both in PEM form.
type Pair struct {
	Certificate []byte
	PrivateKey  []byte
}

// An Authority issues the certificates of one deployment.
type Authority struct {
	certificate *x509.Certificate
	privateKey  *ecdsa.PrivateKey
	pem         Pair
}

// NewAuthority makes an authority that is valid for the given lifetime.
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
		return nil, fmt.Errorf("make authority key: %w", err)
	}
	pair, err := sign(template, template, privateKey, privateKey)
	if err != nil {
		return nil, fmt.Errorf("sign authority: %w", err)
	}
	return LoadAuthority(pair)
}

// LoadAuthority reads an authority from its PEM form.
func LoadAuthority(pair Pair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Certificate, pair.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	privateKey, ok := loaded.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("authority key is a %T, want an ECDSA key", loaded.PrivateKey)
	}
	return &Authority{certificate: loaded.Leaf, privateKey: privateKey, pem: pair}, nil
}

// PEM returns the authority's certificate and private key.
func (a *Authority) PEM() Pair { return a.pem }

// Issue makes the certificate of one node.
func (a *Authority) Issue(n Node, addresses []net.IP, now time.Time, lifetime time.Duration) (Pair, error) {
	template, err := newTemplate(n.Host, now, lifetime)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{{Scheme: scheme, Host: n.Zone, Path: "/" + n.Host}}
	template.IPAddresses = addresses
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("make key of host %q: %w", n.Host, err)
	}
	pair, err := sign(template, a.certificate, privateKey, a.privateKey)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate of host %q: %w", n.Host, err)
	}
	return pair, nil
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("make serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func sign(template, parent *x509.Certificate, own, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, own.Public(), signer)
	if err != nil {
		return Pair{}, fmt.Errorf("create certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(own)
	if err != nil {
		return Pair{}, fmt.Errorf("encode private key: %w", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		PrivateKey:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// TLS returns the settings by which a node proves itself to its peers and
// accepts only peers of the same authority. Peers are dialled by IP address, so
// the chain and the named node are verified in place of a host name.
func TLS(authorityCertificate []byte, node Pair, protocol string) (*tls.Config, error) {
	certificate, err := tls.X509KeyPair(node.Certificate, node.PrivateKey)
	if err != nil {
		return nil, fmt.Errorf("read node certificate: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorityCertificate) {
		return nil, eris.New("authority certificate is not in PEM form")
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{certificate},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          roots,
		NextProtos:         []string{protocol},
		InsecureSkipVerify: true, // Replaced by VerifyConnection, which checks the chain and the node.
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, roots) },
	}, nil
}

func verify(state tls.ConnectionState, roots *x509.CertPool) error {
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
