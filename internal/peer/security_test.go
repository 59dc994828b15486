package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/peer"
)

// authority signs certificates for a test.
type authority struct {
	g    *WithT
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

var serial int64

func newAuthority(g *WithT) *authority {
	a := &authority{g: g}
	a.key = a.newKey()
	serial++
	from := &x509.Certificate{SerialNumber: big.NewInt(serial), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, from, from, &a.key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	a.cert, err = x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.g.Expect(err).NotTo(HaveOccurred())
	return key
}

// issue writes the directory of a process at an address that accepts the given authorities.
func (a *authority) issue(dir, ip string, accepted ...*authority) {
	key := a.newKey()
	serial++
	cert := &x509.Certificate{SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.ParseIP(ip)}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	a.g.Expect(err).NotTo(HaveOccurred())
	secret, err := x509.MarshalECPrivateKey(key)
	a.g.Expect(err).NotTo(HaveOccurred())
	write := func(name string, blocks ...*pem.Block) {
		var text []byte
		for _, b := range blocks {
			text = append(text, pem.EncodeToMemory(b)...)
		}
		a.g.Expect(os.WriteFile(filepath.Join(dir, name), text, 0o600)).To(Succeed())
	}
	write("certificate.pem", &pem.Block{Type: "CERTIFICATE", Bytes: der})
	write("key.pem", &pem.Block{Type: "EC PRIVATE KEY", Bytes: secret})
	var blocks []*pem.Block
	for _, b := range accepted {
		blocks = append(blocks, &pem.Block{Type: "CERTIFICATE", Bytes: b.cert.Raw})
	}
	write("authorities.pem", blocks...)
}

// connect lets one process dial another and returns the errors of both ends.
func connect(g *WithT, listener, dialler *peer.Security) (dialled, accepted error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	acceptResult := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			if conn, err = listener.Accept(context.Background(), conn); err == nil {
				_, err = conn.Write([]byte("x"))
				conn.Close()
			}
		}
		acceptResult <- err
	}()
	conn, dialled := dialler.Dial(context.Background(), l.Addr().String(), time.Second)
	if dialled == nil {
		_, dialled = conn.Read(make([]byte, 1)) // a rejection by the other end is reported here
		conn.Close()
	}
	return dialled, <-acceptResult
}

func TestLinksAuthenticateBothEnds(t *testing.T) {
	g := NewWithT(t)
	current, successor := newAuthority(g), newAuthority(g)
	newSecurity := func(a *authority, ip string, believed ...*authority) (*peer.Security, string) {
		dir := t.TempDir()
		a.issue(dir, ip, believed...)
		s, err := peer.NewSecurity(dir, "127.0.0.1")
		g.Expect(err).NotTo(HaveOccurred())
		return s, dir
	}
	reloaded, dir := newSecurity(current, "127.0.0.1", current)
	other, _ := newSecurity(current, "127.0.0.1", current)
	dialled, accepted := connect(g, reloaded, other)
	g.Expect(dialled).NotTo(HaveOccurred())
	g.Expect(accepted).NotTo(HaveOccurred())

	for name, untrusted := range map[string]*peer.Security{
		"a plain link": nil,
		"another authority's": func() *peer.Security {
			s, _ := newSecurity(successor, "127.0.0.1", current)
			return s
		}(),
		"a certificate for another address": func() *peer.Security {
			s, _ := newSecurity(current, "10.0.0.9", current)
			return s
		}(),
	} {
		dialled, accepted = connect(g, reloaded, untrusted)
		g.Expect(accepted).To(HaveOccurred(), name)
		g.Expect(dialled).To(HaveOccurred(), name)
		dialled, _ = connect(g, untrusted, other)
		g.Expect(untrusted == nil || dialled != nil).To(BeTrue(), name)
	}

	// Rotation: first all processes accept both authorities, then the certificates change one by one, then the old authority
	// is removed.
	current.issue(dir, "127.0.0.1", current, successor)
	g.Expect(reloaded.Reload()).To(Succeed())
	rotated, _ := newSecurity(successor, "127.0.0.1", current, successor)
	for _, pair := range [][2]*peer.Security{{reloaded, rotated}, {rotated, reloaded}, {reloaded, other}} {
		dialled, accepted = connect(g, pair[0], pair[1])
		g.Expect(dialled).NotTo(HaveOccurred())
		g.Expect(accepted).NotTo(HaveOccurred())
	}
	successor.issue(dir, "127.0.0.1", successor)
	g.Expect(reloaded.Reload()).To(Succeed())
	_, accepted = connect(g, reloaded, other)
	g.Expect(accepted).To(HaveOccurred(), "the old authority is no longer accepted")
	_, accepted = connect(g, reloaded, rotated)
	g.Expect(accepted).NotTo(HaveOccurred())

	// Unusable files change nothing.
	g.Expect(os.WriteFile(filepath.Join(dir, "key.pem"), []byte("spoilt"), 0o600)).To(Succeed())
	g.Expect(reloaded.Reload()).NotTo(Succeed())
	_, accepted = connect(g, reloaded, rotated)
	g.Expect(accepted).NotTo(HaveOccurred())
	_, err := peer.NewSecurity(t.TempDir(), "127.0.0.1")
	g.Expect(err).To(MatchError(ContainSubstring("certificate.pem")))
}

func TestAddressIsVerified(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect((&peer.Security{}).VerifyAddress(conn, &peer.Handshake{IP: "127.0.0.1"})).To(Succeed())
	g.Expect((&peer.Security{}).VerifyAddress(conn, &peer.Handshake{IP: "10.0.0.9"})).NotTo(Succeed())
	var none *peer.Security
	g.Expect(none.VerifyAddress(conn, &peer.Handshake{IP: "10.0.0.9"})).To(Succeed())
}
