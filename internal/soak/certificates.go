package soak

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certificateValidity is how long after their creation certificates expire. They are valid from an hour before it.
const certificateValidity = 24 * time.Hour

// authority is the certificate authority of a run with inner TLS.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	a := &authority{key: key, serial: 1}
	template := a.template()
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a.certificate, err = x509.ParseCertificate(der)
	return a, err
}

func (a *authority) template() *x509.Certificate {
	a.serial++
	return &x509.Certificate{SerialNumber: big.NewInt(a.serial), NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(certificateValidity)}
}

// issue writes the certificate directory of the process at an address, in the format of its --inner-tls flag.
func (a *authority) issue(dir, ip string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := a.template()
	template.IPAddresses = []net.IP{net.ParseIP(ip)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	write := func(name, kind string, der []byte) error {
		return os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return errors.Join(write("certificate.pem", "CERTIFICATE", der),
		write("key.pem", "EC PRIVATE KEY", secret), write("authorities.pem", "CERTIFICATE", a.certificate.Raw))
}
