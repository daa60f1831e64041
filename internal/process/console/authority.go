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

// The names and modes of the files with certificates and keys.
const (
	authorityBase   = "authority"
	groupKeyName    = "group.key"
	certificateExt  = ".pem"
	privateKeyExt   = ".key"
	certificateMode = 0o644
	privateKeyMode  = 0o600
)

// CertificateFiles lists the files that were written.
type CertificateFiles struct {
	Certificate string    `json:"certificate"`
	PrivateKey  string    `json:"private-key"`
	ValidUntil  time.Time `json:"valid-until"`
	// GroupKey is the file of the deployment's group key, if it was created too.
	GroupKey string `json:"group-key,omitempty"`
}

// WriteText writes the names of the files.
func (c CertificateFiles) WriteText(w io.Writer) error {
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
		return nil, fmt.Errorf("create authority: %w", err)
	}
	groupKey, err := seal.GenerateKey()
	if err != nil {
		return nil, err
	}
	files, err := writePair(a.Directory, authorityBase, authority.PEM(), now.Add(a.Lifetime))
	if err != nil {
		return nil, err
	}
	files.GroupKey = filepath.Join(a.Directory, groupKeyName)
	if err := createFile(files.GroupKey, groupKey, privateKeyMode); err != nil {
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
	base := filepath.Join(directory, authorityBase)
	certificate, err := os.ReadFile(base + certificateExt)
	if err != nil {
		return nil, fmt.Errorf("read authority file: %w", err)
	}
	privateKey, err := os.ReadFile(base + privateKeyExt)
	if err != nil {
		return nil, fmt.Errorf("read authority file: %w", err)
	}
	authority, err := identity.LoadAuthority(identity.KeyPair{Certificate: certificate, PrivateKey: privateKey})
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	return authority, nil
}

// writePair writes a certificate and its private key to new files. It overwrites
// nothing, because the loss of an authority makes every node's certificate useless.
func writePair(directory, name string, pair identity.KeyPair, validUntil time.Time) (CertificateFiles, error) {
	base := filepath.Join(directory, name)
	if err := createFile(base+privateKeyExt, pair.PrivateKey, privateKeyMode); err != nil {
		return CertificateFiles{}, err
	}
	if err := createFile(base+certificateExt, pair.Certificate, certificateMode); err != nil {
		return CertificateFiles{}, err
	}
	return CertificateFiles{Certificate: base + certificateExt, PrivateKey: base + privateKeyExt, ValidUntil: validUntil}, nil
}

func createFile(name string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s exists and is not overwritten: %w", name, errBadInput)
	}
	if err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	if _, err := file.Write(content); err != nil {
		file.Close()
		return fmt.Errorf("write file: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	return nil
}
