package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// handshakeTimeout is how long a TLS handshake may take.
const handshakeTimeout = 2 * time.Second

// Security authenticates links by mutual TLS. It reads a certificate, its key and the accepted authorities from three files
// in a directory. With a nil Security links are unencrypted, and only the network protects them from other processes. It is
// safe for concurrent use.
type Security struct {
	dir     string
	ownIP   string // local address of dialled links; the certificate must name it
	current atomic.Pointer[credentials]
}

type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Files in the directory of a Security.
const (
	certificateFile = "certificate.pem"
	keyFile         = "key.pem"
	authorityFile   = "authorities.pem" // contains two authorities during a rotation
)

// NewSecurity reads the directory dir for a process whose address is ownIP. It returns nil for an empty dir, which means
// unencrypted links.
func NewSecurity(dir, ownIP string) (*Security, error) {
	if dir == "" {
		return nil, nil
	}
	s := &Security{dir: dir, ownIP: ownIP}
	return s, s.Reload()
}

// Reload reads the directory again. New links use its contents; established links are not affected. If it returns an error,
// the previous credentials stay in use.
func (s *Security) Reload() error {
	if s == nil {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(filepath.Join(s.dir, certificateFile), filepath.Join(s.dir, keyFile))
	if err != nil {
		return fmt.Errorf("inner TLS: %w", err)
	}
	text, err := os.ReadFile(filepath.Join(s.dir, authorityFile))
	if err != nil {
		return fmt.Errorf("inner TLS: %w", err)
	}
	loaded := &credentials{certificate: certificate, authorities: x509.NewCertPool()}
	if !loaded.authorities.AppendCertsFromPEM(text) {
		return fmt.Errorf("inner TLS: %s contains no certificate", authorityFile)
	}
	s.current.Store(loaded)
	return nil
}

// Dial connects to another process within timeout, and verifies that its certificate names the address.
func (s *Security) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if s != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.ownIP)}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil || s == nil {
		return conn, err
	}
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, closeWith(conn, err)
	}
	current := s.current.Load()
	return completeHandshake(ctx, tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
		ServerName:   ip,
	}))
}

// Accept secures a connection that another process dialled, and verifies that its certificate names the remote address. It
// blocks during the TLS handshake, so it should be called on the connection's own goroutine.
func (s *Security) Accept(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if s == nil {
		return conn, nil
	}
	current := s.current.Load()
	secured := tls.Server(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		ClientCAs:    current.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	})
	if _, err := completeHandshake(ctx, secured); err != nil {
		return nil, err
	}
	if err := secured.ConnectionState().PeerCertificates[0].VerifyHostname(RemoteIP(conn)); err != nil {
		return nil, closeWith(conn, err)
	}
	return secured, nil
}

func completeHandshake(ctx context.Context, conn *tls.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, closeWith(conn, err)
	}
	return conn, nil
}

// closeWith closes a failed connection and returns the error that caused it.
func closeWith(conn net.Conn, err error) error {
	_ = conn.Close() // the first error is the cause
	return err
}

// RemoteIP returns the remote IP address of a connection, or the empty string if it has none.
func RemoteIP(conn net.Conn) string {
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return ip
}

var errAddressMismatch = errors.New("handshake address differs from the remote address")

// VerifyAddress returns an error if the address in a peer's handshake differs from the one that its certificate proved.
func (s *Security) VerifyAddress(conn net.Conn, handshake *Handshake) error {
	if s != nil && handshake.IP != RemoteIP(conn) {
		return fmt.Errorf("%w: %s, not %s", errAddressMismatch, handshake.IP, RemoteIP(conn))
	}
	return nil
}
