package console

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/seal"
)

// The names and modes of the files with certificates and private keys.
const (
	authorityName   = "authority"
	groupKeyName    = "group.key"
	certificateEnd  = ".pem"
	privateKeyEnd   = ".key"
	certificateMode = 0o644
	privateKeyMode  = 0o600
)

// Certificates names the files that were written.
type Certificates struct {
	Certificate string    `json:"certificate"`
	PrivateKey  string    `json:"private-key"`
	ValidUntil  time.Time `json:"valid-until"`
	// GroupKey is set where the group key of the deployment was made too.
	GroupKey string `json:"group-key,omitempty"`
}

// WriteText writes the names of the files.
func (c Certificates) WriteText(w io.Writer) error {
	if c.GroupKey != "" {
		fmt.Fprintf(w, "wrote %s\n", c.GroupKey)
	}
	_, err := fmt.Fprintf(w, "wrote %s and %s, valid until %s\n",
		c.Certificate, c.PrivateKey, c.ValidUntil.Format(time.DateOnly))
	return err
}

func initAuthority(a InitArguments, now time.Time) (Result, error) {
	authority, err := identity.NewAuthority(now, a.Lifetime)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	groupKey, err := seal.NewKey()
	if err != nil {
		return nil, err
	}
	files, err := writePair(a.Directory, authorityName, authority.PEM(), now.Add(a.Lifetime))
	if err != nil {
		return nil, err
	}
	files.GroupKey = filepath.Join(a.Directory, groupKeyName)
	if err := writeNew(files.GroupKey, groupKey, privateKeyMode); err != nil {
		return nil, err
	}
	return files, nil
}

func issueCertificate(a IssueArguments, now time.Time) (Result, error) {
	var addresses []net.IP
	for _, text := range a.Addresses {
		address := net.ParseIP(text)
		if address == nil {
			return nil, fmt.Errorf("%q is not an IP address: %w", text, errBadInput)
		}
		addresses = append(addresses, address)
	}
	authority, err := loadAuthority(a.Directory)
	if err != nil {
		return nil, err
	}
	pair, err := authority.Issue(identity.Node{Host: a.Host, Zone: a.Zone}, addresses, now, a.Lifetime)
	if err != nil {
		return nil, fmt.Errorf("issue certificate: %w", err)
	}
	files, err := writePair(a.Directory, a.Host, pair, now.Add(a.Lifetime))
	if err != nil {
		return nil, err
	}
	return files, nil
}

func loadAuthority(directory string) (*identity.Authority, error) {
	base := filepath.Join(directory, authorityName)
	certificate, err := os.ReadFile(base + certificateEnd)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	privateKey, err := os.ReadFile(base + privateKeyEnd)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	authority, err := identity.LoadAuthority(identity.Pair{Certificate: certificate, PrivateKey: privateKey})
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	return authority, nil
}

// writePair writes a certificate and its private key. It overwrites nothing: an
// authority that is lost makes every node's certificate worthless.
func writePair(directory, name string, pair identity.Pair, until time.Time) (Certificates, error) {
	base := filepath.Join(directory, name)
	if err := writeNew(base+privateKeyEnd, pair.PrivateKey, privateKeyMode); err != nil {
		return Certificates{}, err
	}
	if err := writeNew(base+certificateEnd, pair.Certificate, certificateMode); err != nil {
		return Certificates{}, err
	}
	return Certificates{Certificate: base + certificateEnd, PrivateKey: base + privateKeyEnd, ValidUntil: until}, nil
}

func writeNew(name string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s exists and is not overwritten: %w", name, errBadInput)
	}
	if err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	if _, err := file.Write(content); err != nil {
		file.Close()
		return fmt.Errorf("write certificate: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write certificate: %w", err)
	}
	return nil
}
